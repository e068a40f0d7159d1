#pragma once

#include "hibiscusfall/core/instant.hpp"

namespace hibiscusfall::relay
{

/// @brief A planned stop of an instance. Says what may still begin, and when requests without an answer get
/// their final one.
///
/// @code
/// const shutdown_schedule stop{.requested = now, .timeout = std::chrono::seconds{8}};
/// const bool refused = now >= streams_until(stop);
/// @endcode
struct shutdown_schedule {
    core::instant requested{}; ///< Earliest time at which the stop can have been requested.
    core::duration timeout{};  ///< From the request until the process is killed.
    core::duration loop_lag{}; ///< Longest recent delay of the event loop.
};

/// @brief A request that has not been sent to an endpoint yet, or not successfully.
struct pending_request {
    bool is_stream = false;
    bool repeatable = false;
    core::instant latest_response{}; ///< Latest time at which its response may end.
};

/// @brief End of the time for which new connections come, as the load balancer has not seen the stop yet.
[[nodiscard]] core::instant connections_until(const shutdown_schedule& stop) noexcept;

/// @brief Time from which streams are refused, since the stop could cut them.
[[nodiscard]] core::instant streams_until(const shutdown_schedule& stop) noexcept;

/// @brief Time at which requests without an answer get a final one from this instance.
/// @remarks Early enough that these answers are sent before the process is killed, also by an event loop
/// that is behind its work. Not before the last sixth of the timeout: work in progress has until then.
[[nodiscard]] core::instant responses_until(const shutdown_schedule& stop) noexcept;

/// @brief Time at which the process ends, whatever is in progress.
[[nodiscard]] core::instant process_end(const shutdown_schedule& stop) noexcept;

/// @brief Whether a request that arrives now is accepted.
[[nodiscard]] bool
accepts(const shutdown_schedule& stop, const pending_request& request, core::instant now) noexcept;

/// @brief Whether an accepted request may be sent to an endpoint once more. One that the stop could cut, and
/// that then may not be repeated, is better refused, since another instance can serve it.
[[nodiscard]] bool
allows_retry(const shutdown_schedule& stop, const pending_request& request, core::instant now) noexcept;

} // namespace hibiscusfall::relay
