#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/core/verdict.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <variant>

namespace hibiscusfall::core
{

/// @brief Claims the exclusive right to run the request of an idempotency key.
struct claim_request {
    team_id team;
    failure_domain_id home; ///< The failure domain that is the authority for the team's keys.
    std::string key;        ///< Value of the Idempotency-Key header, 1..255 bytes.
    std::array<std::uint8_t, 16> body_digest{}; ///< Digest of method, path and body.
    instant deadline{};
};

/// @brief The stored result of the request that ran under a key, for replay to later requests with that key.
struct claim_outcome {
    verdict result;           ///< @c not_run releases the key; @c ran and @c may_have_run are stored.
    std::uint16_t status = 0; ///< HTTP status of the response, if the request ran.
    std::string content_type{};
    std::string body{}; ///< The complete response body; empty if it was too large to store.
    bool body_kept = false;
};

/// @brief The request may run; its outcome must be reported with this claim id.
struct claim_granted {
    std::uint64_t claim = 0;
};

/// @brief An earlier request with the key has completed; its stored outcome is returned to the caller.
struct claim_replayed {
    claim_outcome outcome;
};

/// @brief The request must not run.
/// @remarks The result is @c not_run if the key was used with a different body or its authority is
/// unreachable, and @c may_have_run if the outcome of an earlier request with the key is unknown.
struct claim_denied {
    verdict result;
    duration retry_after{};
};

using claim_decision = std::variant<claim_granted, claim_replayed, claim_denied>;

} // namespace hibiscusfall::core
