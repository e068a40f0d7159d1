#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief Identifies a team between instances: a digest of its name.
using team_tag = std::uint32_t;

/// @brief Tokens requested by and granted to a team within the window: prompt tokens plus twice the output
/// tokens.
struct team_window {
    static constexpr std::size_t bucket_count = 8;
    std::array<double, bucket_count> requested{};
    std::array<double, bucket_count> granted{};
    double requested_sum = 0;
    double granted_sum = 0;
};

/// @brief Max-min fair shares of the teams over a sliding window, for the whole fleet.
/// @remarks Applies when demand exceeds the endpoints' capacity and a few teams account for most of it: each
/// team gets up to a common level; a team that requests less gets all it requests.
struct team_shares {
    double tokens_per_second = 0; ///< Total capacity of the endpoints; zero disables shares.
    core::duration window = std::chrono::seconds{4};
    std::unordered_map<team_tag, team_window> teams;
    std::size_t bucket = 0;
    core::instant bucket_start{};
    double overcommit_factor =
        1;              ///< Multiple of the supply up to which teams beyond their shares are served.
    double level = 0;   ///< Tokens per team in the window; zero if demand fits the supply.
    double granted = 0; ///< Tokens granted to all teams in the window.
};

/// @brief Advances the window and recalculates the level.
void advance(team_shares& shares, core::instant now);

/// @brief Records tokens requested by a team at this or another instance.
void record_requested(team_shares& shares, team_tag team, double tokens);

/// @brief Records tokens of requests placed for a team.
void record_granted(team_shares& shares, team_tag team, double tokens);

/// @brief Whether a team may place another request within its share. The request's size is not considered, so
/// that a large request is not refused where a small one is accepted.
/// @param fraction Fraction of the share that may be used.
[[nodiscard]] bool within_share(const team_shares& shares, team_tag team, double fraction = 1.0);

/// @brief Whether a team beyond its share may place another request: part of the supply is unused, and the
/// team is not far ahead of the others.
[[nodiscard]] bool may_exceed_share(const team_shares& shares, team_tag team);

/// @brief The level at which the demands add up to @p supply if each is capped at it; zero if they fit.
/// @param demands Sorted in place.
[[nodiscard]] double max_min_level(std::vector<double>& demands, double supply);

} // namespace hibiscusfall::dispatch
