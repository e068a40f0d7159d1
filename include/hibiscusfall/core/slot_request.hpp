#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusfall::core
{

/// @brief A router's request for a slot at an endpoint, on behalf of one caller request.
struct slot_request {
    service_id service;
    team_id team;
    double cost = 0;      ///< Estimated cost, in the unit of the service's worth.
    bool is_long = false; ///< Expected to hold the slot much longer than the average request.
    instant arrived{};
    instant deadline{};
    std::uint64_t prefix = 0;          ///< Digest of the prompt's prefix; 0 if there is none.
    std::vector<endpoint_id> excluded; ///< Endpoints that earlier attempts have tried.
};

/// @brief A slot was granted: the request may run at the endpoint.
struct slot_granted {
    std::uint64_t ticket = 0; ///< Identifies the slot in progress reports and on release.
    endpoint_id endpoint;
    duration wait{};
    std::uint32_t queue_length = 0; ///< Tickets still queued when the slot was granted.
    std::uint32_t alternatives = 0; ///< Endpoints that were considered.
};

/// @brief No slot was granted; the request has not run.
struct slot_denied {
    failure reason = failure::queue_full;
    std::string detail;
    duration retry_after{}; ///< Suggested delay before a retry; zero if unknown.
};

using slot_decision = std::variant<slot_granted, slot_denied>;

/// @brief Progress of the request that holds a slot.
struct run_progress {
    double cost = 0;        ///< Cost incurred so far, in the unit of the service's worth.
    duration first_token{}; ///< Time to the first byte of the response; zero until it arrives.
};

/// @brief Reported when a slot is released: the outcome and actual cost of its request.
struct slot_usage {
    bool answered = false; ///< Whether the caller got the complete response; the team is charged only then.
    double cost = 0;       ///< Actual cost, in the unit of the service's worth.
    bool endpoint_failed = false;
    duration first_token{};    ///< Time to the first byte of the response; zero if there was none.
    duration between_tokens{}; ///< Mean time between tokens; zero if there was at most one.
};

} // namespace hibiscusfall::core
