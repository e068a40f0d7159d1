#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::configuration
{

/// @brief One team: its share of the capacity and how its callers prove who they are.
struct team {
    core::team_id id;
    double share = 1.0;                  ///< Weight against the other teams, above 0.
    std::string token_hash;              ///< Hex digest of the callers' bearer token, see hash_token.
    core::failure_domain_id home_domain; ///< Where claims on the team's idempotency keys are settled.

    [[nodiscard]] friend bool operator==(const team&, const team&) = default;
};

/// @brief How an answer is produced, which decides how a request is relayed.
enum class service_kind : std::uint8_t {
    model, ///< A generating engine with streamed answers, reached under /v1/.
    plain  ///< Any other service, reached under /services/<service>/.
};

/// @brief One service that callers can ask for.
struct service {
    core::service_id id;
    service_kind kind = service_kind::model;
    bool repeatable = true;         ///< Whether a request may be run a second time without harm.
    double worth_per_request = 1.0; ///< Service that one answered request counts for.
    double worth_per_token = 0.0;   ///< Service that each generated token counts for.
    bool draining = false;          ///< No new requests are taken.
    bool resume_elsewhere = false;  ///< Whether each of its engines can go on with a stream of another one.

    [[nodiscard]] friend bool operator==(const service&, const service&) = default;
};

/// @brief What part of the work of a model an endpoint is set up for.
enum class endpoint_role : std::uint8_t {
    any,     ///< The whole of it.
    prefill, ///< Reading the prompt.
    decode   ///< Generating the tokens.
};

/// @brief A role as the operators' language, the document and the orders write it.
[[nodiscard]] std::string_view to_string(endpoint_role value) noexcept;

/// @brief Reads what to_string wrote; nothing for any other word.
[[nodiscard]] std::optional<endpoint_role> parse_role(std::string_view text) noexcept;

/// @brief One server that answers requests of one service.
struct endpoint {
    core::endpoint_id id;
    core::service_id service;
    core::failure_domain_id domain;
    core::address address;
    std::uint32_t slots = 1;              ///< Requests that it may run at once, 1..4096.
    bool checks_fencing = false;          ///< Whether it refuses an order with an old fencing number.
    bool draining = false;                ///< It gets no new work; running work finishes.
    std::optional<endpoint_role> role;    ///< Ordered by placement; nothing is ordered when not set.
    std::vector<core::service_id> models; ///< Loaded beside the model of its service.

    [[nodiscard]] friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// @brief One entry of the history of changes.
struct change_record {
    std::string change_id; ///< Chosen by the operator's client; names the change for good.
    std::uint64_t revision = 0;
    std::string command;
    std::string author;
    std::int64_t unix_seconds = 0;
};

/// @brief The whole configuration at one revision. It is the value kept in the platform's store.
struct document {
    std::uint64_t revision = 0;
    std::map<core::team_id, team> teams;
    std::map<core::service_id, service> services;
    std::map<core::endpoint_id, endpoint> endpoints;
    std::vector<change_record> history; ///< The newest changes, oldest first.

    /// The team of each token, by the token's hash. Kept by index_tokens.
    std::unordered_map<std::string, core::team_id> team_by_token;

    /// @name Look-up
    [[nodiscard]] const team* find(const core::team_id& id) const noexcept;
    [[nodiscard]] const service* find(const core::service_id& id) const noexcept;
    [[nodiscard]] const endpoint* find(const core::endpoint_id& id) const noexcept;

    /// @brief The team whose callers use this bearer token; null when there is none.
    /// @remarks Takes constant time once index_tokens was called after the last change of the teams.
    [[nodiscard]] const team* find_by_token(std::string_view token) const;

    /// @brief Puts together the index that find_by_token uses.
    void index_tokens();
};

/// @brief The hex digest under which a token is kept (a keyless BLAKE2b of 32 bytes).
[[nodiscard]] std::string hash_token(std::string_view token);

/// @brief Writes the document as the JSON text kept in the store.
[[nodiscard]] std::string to_json(const document& value);

/// @brief Reads what to_json wrote.
/// @param reason Receives why the text was not accepted.
[[nodiscard]] std::optional<document> from_json(std::string_view text, std::string& reason);

} // namespace hibiscusfall::configuration
