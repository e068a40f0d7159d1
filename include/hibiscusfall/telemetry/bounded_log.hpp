#pragma once

#include "hibiscusfall/telemetry/log_event.hpp"

#include <cstddef>
#include <string_view>

namespace hibiscusfall::telemetry
{

/// @brief Bounds of a log that must neither block nor grow.
struct log_bounds {
    std::size_t lines_per_second = 400; ///< In the long run; errors are written beyond it.
    std::size_t burst_lines = 800;
    std::size_t buffer_bytes = 262144; ///< Of lines that standard output has not taken yet.
};

/// @brief Directs the log to standard output, without a thread: lines are kept until @c flush_log.
/// @remarks Lines beyond the bounds are left out and counted; the count is logged once there is room.
void start_bounded_log(std::string_view instance, log_level level, const log_bounds& bounds);

/// @brief Writes what standard output takes without waiting.
void flush_log();

/// @brief Whether a further line would be written; if not, it is counted as left out. Asked before a line is
/// composed, so that lines beyond the bounds cost nothing.
[[nodiscard]] bool admits_line() noexcept;

/// @brief Lines that were left out since the start.
[[nodiscard]] std::size_t lines_left_out() noexcept;

} // namespace hibiscusfall::telemetry
