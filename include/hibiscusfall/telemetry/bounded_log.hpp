#pragma once

#include "hibiscusfall/telemetry/log_event.hpp"

#include <cstddef>
#include <string_view>

namespace hibiscusfall::telemetry
{

/// @brief Limits of a log that must neither block nor grow without bound.
struct log_limits {
    std::size_t lines_per_second = 400; ///< Sustained rate; errors are written even above it.
    std::size_t burst_lines = 800;
    std::size_t buffer_bytes = 262144; ///< Lines not yet accepted by standard output.
};

/// @brief Sends the log to standard output without a thread: lines are buffered until @c flush_log.
/// @remarks Lines beyond the limits are dropped and counted; @c flush_log logs the count once there is room.
void start_bounded_log(std::string_view instance, log_level level, const log_limits& limits);

/// @brief Writes as many buffered lines as standard output accepts without blocking.
void flush_log();

/// @brief Checks whether another line would be written; if not, counts it as dropped.
/// @remarks Called before a line is formatted, so that dropped lines cost nothing.
[[nodiscard]] bool admit_line() noexcept;

/// @brief Number of lines dropped since the log was started.
[[nodiscard]] std::size_t dropped_lines() noexcept;

} // namespace hibiscusfall::telemetry
