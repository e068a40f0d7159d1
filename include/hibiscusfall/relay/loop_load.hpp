#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>

namespace hibiscusfall::relay
{

/// @brief Event loop overload, estimated from the lateness of its timers.
/// @remarks Protects an instance that receives several times its share of callers, where accepted requests
/// would wait until their callers have given up. An overloaded instance refuses streams, which are the most
/// expensive requests, so that callers retry them elsewhere at once. It also fails its readiness check, so
/// that new connections go to other instances, and closes keep-alive connections after their responses.
struct loop_load {
    double lag_ms = 0;      ///< Exponentially smoothed.
    double peak_lag_ms = 0; ///< Longest recent lag, which fades within some seconds.
    bool overloaded = false;
    core::instant changed_at{};
};

/// @brief Adds a sample of timer lateness.
/// @returns Whether @c overloaded has changed.
bool record_lag(loop_load& load, core::duration lag, core::instant now) noexcept;

/// @brief Whether new streams are refused, since they would start late here and at once on other instances.
[[nodiscard]] bool refuses_streams(const loop_load& load) noexcept;

/// @brief Estimated delay between an event on the network and its handling by this instance.
[[nodiscard]] core::duration observation_delay(const loop_load& load) noexcept;

/// @brief Whether keep-alive connections are closed after their responses. True once the load balancer has
/// had time to route new connections to other instances.
[[nodiscard]] bool should_close_connections(const loop_load& load, core::instant now) noexcept;

} // namespace hibiscusfall::relay
