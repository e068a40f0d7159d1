#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/core/verdict.hpp"
#include "hibiscusfall/traffic/request_budget.hpp"

#include <cstdint>

namespace hibiscusfall::traffic
{

/// @brief What is known of a request when an attempt has failed.
struct failed_attempt {
    core::verdict outcome;
    bool repeatable = false;    ///< Whether the service's requests may run twice.
    bool relayed = false;       ///< Whether the caller has got bytes of an answer.
    bool endpoints_left = true; ///< Whether some endpoint of the service was not tried yet.
    std::uint32_t attempts = 1; ///< Attempts made so far, this one included.
    core::duration remaining{}; ///< Time to the request's deadline.
};

/// @brief Bounds of retries.
struct retry_limits {
    std::uint32_t attempts = 4;                             ///< Most attempts of one request.
    core::duration shortest = std::chrono::milliseconds{5}; ///< No retry with less time left.
};

/// @brief Whether to send a request again; the reason says why not.
struct retry_decision {
    bool retry = false;
    core::failure reason = core::failure::none;
};

/// @brief Decides about sending a request again, and takes the retry out of the budget.
/// @remarks A non-repeatable request is only sent again when it provably has not run.
[[nodiscard]] retry_decision
decide_retry(const failed_attempt& failed, const retry_limits& limits, request_budget& budget);

/// @brief What is known of a stream that cannot go on at its endpoint.
struct stranded_stream {
    bool resume_elsewhere = false; ///< Whether the service's engines can go on with streams of others.
    bool endpoints_left = true;    ///< Whether some endpoint of the service was not tried yet.
    std::uint32_t attempts = 1;    ///< Endpoints that were asked so far, the last one included.
};

/// @brief Decides about going on with a stream at another endpoint, and takes it out of the budget.
/// @remarks The work is sent once more, so that it counts as a retry.
[[nodiscard]] retry_decision
decide_move(const stranded_stream& stranded, const retry_limits& limits, request_budget& budget);

/// @brief The verdict of a request after several attempts: a later "not run" does not undo an earlier
/// "may have run".
[[nodiscard]] core::verdict combine(const core::verdict& earlier, const core::verdict& later);

} // namespace hibiscusfall::traffic
