#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <algorithm>
#include <cstddef>

namespace hibiscusfall::peers
{

/// @file
/// @brief How often an instance tells what, so that what each instance takes stays bounded with the size of
/// the fleet.

/// Changes are told this soon; a placement at another instance within it is not known here.
inline constexpr core::duration least_interval = std::chrono::milliseconds{8};
/// Added to the interval for each member.
inline constexpr core::duration interval_for_member = std::chrono::milliseconds{1};
/// A whole report makes good what lost datagrams said; some tens of instances send it twice a second.
inline constexpr core::duration least_whole_interval = std::chrono::milliseconds{500};
inline constexpr core::duration whole_interval_for_member = std::chrono::milliseconds{10};
/// An own hub counts as silent after this, or after some intervals of reports in a large fleet.
inline constexpr core::duration least_hub_silence = std::chrono::milliseconds{400};
inline constexpr int hub_silence_intervals = 4;
/// An instance that has nothing to tell says at least this often that it lives.
inline constexpr core::duration idle_interval = std::chrono::milliseconds{100};

/// @brief Between two reports of one instance.
[[nodiscard]] constexpr core::duration report_interval(std::size_t members) noexcept
{
    return least_interval + interval_for_member * static_cast<int>(members);
}

/// @brief How often an instance looks whether a report is due. Large fleets report every 70 ms or more, and
/// look together with the sweep of connections, so that the process wakes up once for both.
[[nodiscard]] constexpr core::duration tick_interval(std::size_t members) noexcept
{
    constexpr std::size_t small_fleet = 60;
    return members < small_fleet ? least_interval : core::duration{std::chrono::milliseconds{25}};
}

/// @brief Between two reports of all its totals.
[[nodiscard]] constexpr core::duration whole_interval(std::size_t members) noexcept
{
    return std::max(least_whole_interval, whole_interval_for_member * static_cast<int>(members));
}

/// @brief Silence after which the own hub is replaced. A hub sends what it collects twice in an interval, so
/// that the loss of one batch does not change it.
[[nodiscard]] constexpr core::duration own_hub_silence(std::size_t members) noexcept
{
    return std::max(least_hub_silence, report_interval(members) * hub_silence_intervals);
}

} // namespace hibiscusfall::peers
