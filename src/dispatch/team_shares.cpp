#include "hibiscusfall/dispatch/team_shares.hpp"

#include <algorithm>
#include <numeric>

namespace hibiscusfall::dispatch
{

namespace
{

/// Upper limit of a team's tokens as a multiple of its share. A waiting team then gets its own share, two
/// thirds of what the best served team gets. Required is half; the margin allows for output sizes that are
/// only estimated.
constexpr double max_share_multiple = 1.5;

double seconds(core::duration length)
{
    return std::chrono::duration<double>(length).count();
}

void start_next_bucket(team_shares& shares)
{
    shares.granted = 0;
    shares.bucket = (shares.bucket + 1) % team_window::bucket_count;
    for (auto& [tag, window] : shares.teams) {
        window.requested[shares.bucket] = 0;
        window.granted[shares.bucket] = 0;
        window.requested_sum = std::accumulate(window.requested.begin(), window.requested.end(), 0.0);
        window.granted_sum = std::accumulate(window.granted.begin(), window.granted.end(), 0.0);
        shares.granted += window.granted_sum;
    }
    std::erase_if(shares.teams, [](const auto& each) {
        return each.second.requested_sum <= 0 && each.second.granted_sum <= 0;
    });
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
    const auto bucket_length = shares.window / team_window::bucket_count;
    if (now - shares.bucket_start > shares.window) {
        shares.bucket_start = now - shares.window;
    }
    while (shares.bucket_start + bucket_length <= now) {
        shares.bucket_start += bucket_length;
        start_next_bucket(shares);
    }
    if (shares.tokens_per_second <= 0) {
        shares.level = 0;
        return;
    }
    std::vector<double> demands;
    demands.reserve(shares.teams.size());
    for (const auto& [tag, window] : shares.teams) {
        demands.push_back(window.requested_sum);
    }
    shares.level = max_min_level(demands, shares.tokens_per_second * seconds(shares.window));
}

void record_requested(team_shares& shares, team_tag team, double tokens)
{
    auto& window = shares.teams[team];
    window.requested[shares.bucket] += tokens;
    window.requested_sum += tokens;
}

void record_granted(team_shares& shares, team_tag team, double tokens)
{
    auto& window = shares.teams[team];
    window.granted[shares.bucket] += tokens;
    window.granted_sum += tokens;
    shares.granted += tokens;
}

bool within_share(const team_shares& shares, team_tag team, double fraction)
{
    if (shares.level <= 0) {
        return true;
    }
    const auto found = shares.teams.find(team);
    return found == shares.teams.end() || found->second.granted_sum < fraction * shares.level;
}

bool may_exceed_share(const team_shares& shares, team_tag team)
{
    const auto found = shares.teams.find(team);
    const double had = found == shares.teams.end() ? 0.0 : found->second.granted_sum;
    return shares.granted < shares.overcommit_factor * shares.tokens_per_second * seconds(shares.window) &&
           had < shares.level * max_share_multiple;
}

} // namespace hibiscusfall::dispatch
