#include "hibiscusfall/traffic/waiting_limits.hpp"

#include <string>

namespace hibiscusfall::traffic
{

using core::failure;
using core::verdict;

std::optional<verdict> check_room(const waiting_limits& limits, const core::team_id& team)
{
    const auto found = limits.waiting.find(team);
    if (found != limits.waiting.end() && found->second >= limits.per_team) {
        return verdict::not_run(failure::queue_full,
                                "queue of team " + team.str() + " is full: " + std::to_string(found->second) +
                                    " requests wait");
    }
    if (limits.waiting_total >= limits.total) {
        return verdict::not_run(
            failure::queue_full,
            "the queue of this instance is full: " + std::to_string(limits.waiting_total) + " requests wait");
    }
    return std::nullopt;
}

std::optional<verdict> enter(waiting_limits& limits, const core::team_id& team)
{
    if (auto refusal = check_room(limits, team)) {
        return refusal;
    }
    ++limits.waiting[team];
    ++limits.waiting_total;
    return std::nullopt;
}

void leave(waiting_limits& limits, const core::team_id& team)
{
    const auto found = limits.waiting.find(team);
    if (found == limits.waiting.end()) {
        return;
    }
    --limits.waiting_total;
    if (--found->second == 0) {
        limits.waiting.erase(found);
    }
}

} // namespace hibiscusfall::traffic
