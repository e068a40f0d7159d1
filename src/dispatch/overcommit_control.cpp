#include "hibiscusfall/dispatch/overcommit_control.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

constexpr double max_factor =
    1.6; // multiple of the configured supply; at 1.3 more is served at low load already
constexpr double step_up = 0.06;   // per second
constexpr double step_down = 0.15; // per second
constexpr double max_late_fraction =
    0.22; // of the streams; at low load 10 to 18 % are late because of an event gap
constexpr std::uint32_t min_streams = 6; // fewer are not significant

} // namespace

void record_stream(overcommit_control& control, bool late) noexcept
{
    ++control.streams;
    control.late += late ? 1 : 0;
}

void adjust_factor(overcommit_control& control) noexcept
{
    if (control.streams < min_streams) {
        return; // keep counting
    }
    const bool too_late = control.late > max_late_fraction * control.streams;
    control.factor = std::clamp(control.factor + (too_late ? -step_down : step_up), 1.0, max_factor);
    control.streams = 0;
    control.late = 0;
}

} // namespace hibiscusfall::dispatch
