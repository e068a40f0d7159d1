#include "hibiscusfall/dispatch/team_shares.hpp"

#include <algorithm>
#include <numeric>

namespace hibiscusfall::dispatch
{

namespace
{

/// Shares that a team may have at most. A team that waits has its own share, two thirds of what the best
/// served one gets; half is owed, and the size of what is generated is only estimated.
constexpr double most_beyond_share = 1.5;

double seconds(core::duration length)
{
    return std::chrono::duration<double>(length).count();
}

void open_step(team_shares& shares)
{
    shares.given = 0;
    shares.step = (shares.step + 1) % team_window::steps;
    for (auto& [tag, window] : shares.teams) {
        window.asked[shares.step] = 0;
        window.given[shares.step] = 0;
        window.asked_sum = std::accumulate(window.asked.begin(), window.asked.end(), 0.0);
        window.given_sum = std::accumulate(window.given.begin(), window.given.end(), 0.0);
        shares.given += window.given_sum;
    }
    std::erase_if(shares.teams,
                  [](const auto& each) { return each.second.asked_sum <= 0 && each.second.given_sum <= 0; });
}

} // namespace

double max_min_level(std::vector<double>& demands, double supply)
{
    std::sort(demands.begin(), demands.end());
    double left = supply;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double even = left / static_cast<double>(demands.size() - i);
        if (demands[i] > even) {
            return even;
        }
        left -= demands[i];
    }
    return 0;
}

void advance(team_shares& shares, core::instant now)
{
    const auto step_length = shares.window / team_window::steps;
    if (now - shares.step_begun > shares.window) {
        shares.step_begun = now - shares.window;
    }
    while (shares.step_begun + step_length <= now) {
        shares.step_begun += step_length;
        open_step(shares);
    }
    if (shares.tokens_per_second <= 0) {
        shares.level = 0;
        return;
    }
    std::vector<double> demands;
    demands.reserve(shares.teams.size());
    for (const auto& [tag, window] : shares.teams) {
        demands.push_back(window.asked_sum);
    }
    shares.level = max_min_level(demands, shares.tokens_per_second * seconds(shares.window));
}

void note_asked(team_shares& shares, team_tag team, double tokens)
{
    auto& window = shares.teams[team];
    window.asked[shares.step] += tokens;
    window.asked_sum += tokens;
}

void note_given(team_shares& shares, team_tag team, double tokens)
{
    auto& window = shares.teams[team];
    window.given[shares.step] += tokens;
    window.given_sum += tokens;
    shares.given += tokens;
}

bool within_share(const team_shares& shares, team_tag team, double part)
{
    if (shares.level <= 0) {
        return true;
    }
    const auto found = shares.teams.find(team);
    return found == shares.teams.end() || found->second.given_sum < part * shares.level;
}

bool spare_for(const team_shares& shares, team_tag team)
{
    const auto found = shares.teams.find(team);
    const double had = found == shares.teams.end() ? 0.0 : found->second.given_sum;
    return shares.given < shares.spare_factor * shares.tokens_per_second * seconds(shares.window) &&
           had < shares.level * most_beyond_share;
}

} // namespace hibiscusfall::dispatch
