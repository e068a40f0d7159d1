#include "hibiscusfall/dispatch/overcommit_control.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

constexpr double most = 1.6;       // of the stated supply; trials at 1.3 gained on calm days
constexpr double step_up = 0.06;   // a second
constexpr double step_down = 0.15; // a second
constexpr double late_part = 0.22; // of the streams; on calm days 10 to 18 in 100 were late by a pause
constexpr std::uint32_t least_streams = 6; // fewer say little

} // namespace

void record_stream(overcommit_control& control, bool late) noexcept
{
    ++control.streams;
    control.late += late ? 1 : 0;
}

void adjust_factor(overcommit_control& control) noexcept
{
    if (control.streams < least_streams) {
        return; // counted on until there are enough
    }
    const bool too_late = control.late > late_part * control.streams;
    control.factor = std::clamp(control.factor + (too_late ? -step_down : step_up), 1.0, most);
    control.streams = 0;
    control.late = 0;
}

} // namespace hibiscusfall::dispatch
