#pragma once

#include <cstdint>

namespace hibiscusfall::dispatch
{

/// @brief Controls by what factor teams may be served beyond the configured supply, based on the latency of
/// streams. The configured supply counts cached prompt tokens like processed ones, so actual capacity is
/// usually higher.
/// @remarks Distinguishes two situations that look alike by the configured supply: engines with spare
/// capacity although teams exceed their shares, and engines whose streams are already late.
struct overcommit_control {
    double factor = 1.0; ///< Multiple of the configured supply.
    std::uint32_t streams = 0;
    std::uint32_t late = 0;
};

/// @brief Records the end of a stream.
/// @param late Whether its first event or an event gap exceeded its route's target.
void record_stream(overcommit_control& control, bool late) noexcept;

/// @brief Adjusts the factor by the streams since the last adjustment: slowly up while few are late, faster
/// down. Called once per second.
void adjust_factor(overcommit_control& control) noexcept;

} // namespace hibiscusfall::dispatch
