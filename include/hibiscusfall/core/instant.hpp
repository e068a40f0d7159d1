#pragma once

#include <chrono>

namespace hibiscusfall::core
{

/// @brief A point in time on the process's monotonic clock.
/// @remarks Decision logic receives the current time as an argument and never reads a clock.
using instant = std::chrono::steady_clock::time_point;

/// @brief A duration, in microseconds unless a name says otherwise.
using duration = std::chrono::microseconds;

/// @brief The time between two instants; negative if @p to is earlier than @p from.
[[nodiscard]] inline duration elapsed(instant from, instant to) noexcept
{
    return std::chrono::duration_cast<duration>(to - from);
}

/// @brief The time between two instants in seconds, at the resolution of the clock.
[[nodiscard]] inline double seconds_between(instant from, instant to) noexcept
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace hibiscusfall::core
