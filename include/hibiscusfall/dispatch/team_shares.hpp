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

/// @brief Names a team between instances: a digest of its name.
using team_tag = std::uint32_t;

/// @brief What a team asked for and was given within the window, in tokens read plus twice those generated.
struct team_window {
    static constexpr std::size_t steps = 8;
    std::array<double, steps> asked{};
    std::array<double, steps> given{};
    double asked_sum = 0;
    double given_sum = 0;
};

/// @brief The max-min shares of the teams over a sliding window, over the whole fleet.
/// @remarks Answers a load beyond what the endpoints produce, in which a few teams ask for most of it: each
/// team may have up to one level; those that ask for less than it get all they ask for.
struct team_shares {
    double tokens_per_second = 0; ///< That the endpoints produce together; zero means no shares.
    core::duration window = std::chrono::seconds{4};
    std::unordered_map<team_tag, team_window> teams;
    std::size_t step = 0;
    core::instant step_begun{};
    double spare_factor = 1; ///< Of the supply, up to which teams beyond their shares are served.
    double level = 0;        ///< Tokens that each team may have in the window; zero when all may have all.
    double given = 0;        ///< Tokens that all teams were given in the window.
};

/// @brief Moves the window on, and works out the level anew.
void advance(team_shares& shares, core::instant now);

/// @brief Notes what a team asks for, here or at another instance.
void note_asked(team_shares& shares, team_tag team, double tokens);

/// @brief Notes what was placed for a team.
void note_given(team_shares& shares, team_tag team, double tokens);

/// @brief Whether a team may have another request within its share. Its size does not count, so that a large
/// request is not refused where a small one is taken.
/// @param part Of the share.
[[nodiscard]] bool within_share(const team_shares& shares, team_tag team, double part = 1.0);

/// @brief Whether a team beyond its share may have another request all the same: what the teams were given
/// leaves supply unused, and the team is not far ahead of the others.
[[nodiscard]] bool spare_for(const team_shares& shares, team_tag team);

/// @brief The level at which the demands add up to @p supply when each is cut to it; zero when they fit.
/// @param demands Consumed: sorted in place.
[[nodiscard]] double max_min_level(std::vector<double>& demands, double supply);

} // namespace hibiscusfall::dispatch
