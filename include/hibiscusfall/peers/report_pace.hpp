#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <algorithm>
#include <cstddef>

namespace hibiscusfall::peers
{

/// @file
/// @brief Intervals of reports. They grow with the fleet, so that the rate of reports that each instance
/// receives stays bounded.

/// Minimum interval between reports. Other instances do not know of a placement until it is reported.
inline constexpr core::duration min_report_interval = std::chrono::milliseconds{8};
/// Added to the report interval per member.
inline constexpr core::duration report_interval_per_member = std::chrono::milliseconds{1};
/// A full report corrects what lost datagrams left out; fleets of some tens of instances send it twice a
/// second.
inline constexpr core::duration min_full_report_interval = std::chrono::milliseconds{500};
inline constexpr core::duration full_report_interval_per_member = std::chrono::milliseconds{10};
/// The hub of the own domain counts as failed after this time without a datagram from it, or, in a large
/// fleet, after this number of report intervals.
inline constexpr core::duration min_hub_timeout = std::chrono::milliseconds{400};
inline constexpr int hub_timeout_intervals = 4;
/// Maximum interval between reports of an instance that has no changes.
inline constexpr core::duration keepalive_interval = std::chrono::milliseconds{100};

/// @brief Interval between two reports of one instance.
[[nodiscard]] constexpr core::duration report_interval(std::size_t members) noexcept
{
    return min_report_interval + report_interval_per_member * static_cast<int>(members);
}

/// @brief Interval at which an instance checks whether a report is due. Large fleets report every 70 ms or
/// more and check together with the sweep of connections, so that one wake-up of the process serves both.
[[nodiscard]] constexpr core::duration tick_interval(std::size_t members) noexcept
{
    constexpr std::size_t small_fleet = 60;
    return members < small_fleet ? min_report_interval : core::duration{std::chrono::milliseconds{25}};
}

/// @brief Interval between two full reports, which contain all totals of an instance.
[[nodiscard]] constexpr core::duration full_report_interval(std::size_t members) noexcept
{
    return std::max(min_full_report_interval, full_report_interval_per_member * static_cast<int>(members));
}

/// @brief Time without a datagram after which the hub of the own domain is replaced. A hub sends its batch
/// twice per report interval, so that the loss of one batch does not cause a change of hub.
[[nodiscard]] constexpr core::duration own_hub_timeout(std::size_t members) noexcept
{
    return std::max(min_hub_timeout, report_interval(members) * hub_timeout_intervals);
}

} // namespace hibiscusfall::peers
