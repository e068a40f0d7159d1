#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace hibiscusfall::protocol
{

/// @brief What is known of an instance's condition. Higher values win at the same start and refutation.
enum class member_status : std::uint8_t { alive, suspect, leaving, removed };

/// @brief The condition's name in logs and answers.
[[nodiscard]] std::string_view to_string(member_status value) noexcept;

/// @brief One instance as it is spread between the others.
struct member_record {
    core::instance_id id;
    core::failure_domain_id domain;
    core::address inner;           ///< Where it takes datagrams, as others reach it.
    core::address operators;       ///< Where it takes operator and JSON-RPC calls.
    std::uint64_t incarnation = 0; ///< Names the process's start, as in the head of its datagrams.
    member_status status = member_status::alive;
    std::uint32_t refutation = 0; ///< Grows when the instance refutes a suspicion; starts at 0.

    [[nodiscard]] friend bool operator==(const member_record&, const member_record&) = default;
};

/// @brief Says that the sender lives, and spreads records.
struct heartbeat {
    std::uint64_t round = 0;
    std::uint64_t configuration_revision = 0; ///< The revision that the sender has in force.
    bool wants_answer = true;
    std::vector<member_record> records; ///< The sender's own comes first.
};

/// @brief Asks the receiver to send a heartbeat to a member that did not answer the sender.
struct probe_request {
    std::uint64_t round = 0; ///< Of the sender; returned in the result.
    core::instance_id target;
};

/// @brief Says that the target of a probe_request answered.
struct probe_result {
    std::uint64_t round = 0;
};

/// @brief Asks for the receiver's records that follow a name.
struct member_page_request {
    core::instance_id after; ///< Empty for the first page.
};

/// @brief Part of an instance's list of members, in the order of names.
struct member_page {
    bool last = false; ///< No more records follow.
    std::vector<member_record> records;
};

/// @brief An endpoint that the platform lists as leaving.
struct leaving_endpoint {
    core::endpoint_id id;
    core::duration remaining{}; ///< How long the sender believes it without further word.
};

/// @brief Endpoints that get no new work.
struct leaving_notice {
    std::vector<leaving_endpoint> endpoints;
};

} // namespace hibiscusfall::protocol
