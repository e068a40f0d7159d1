#include "scheduler_steps.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusfall::scheduling
{

namespace
{

/// An old rate of a team weighs 1/e after this time.
constexpr core::duration rate_memory = std::chrono::seconds{4};

/// Teams in each summary that come in turn, so that lost summaries are made good.
constexpr std::size_t teams_in_turn = 2;

/// A team is told ahead of its turn when its service per share is this far from what the receiver expects,
/// in mean requests.
constexpr double notable_error = 0.5;

double total_service(const team_account& account)
{
    return account.settled + account.running;
}

void measure_own_service(scheduler& state, core::instant now)
{
    for (const auto& [id, account] : state.accounts.teams) {
        const double total = total_service(account);
        auto own = state.exchange.own.find(id);
        if (own == state.exchange.own.end()) {
            if (total <= 0 && account.waiting.empty()) {
                continue;
            }
            own = state.exchange.own.try_emplace(id).first;
        }
        measure_service(own->second, total, now, rate_memory);
    }
    std::erase_if(state.exchange.own,
                  [&](const auto& item) { return !state.accounts.teams.contains(item.first); });
}

/// How far the receiver's view of a team is off, in mean requests per share; backlogs that come and go
/// count most.
double
error_of(const exchange_peer& peer, const core::team_id& id, const team_account& account, core::instant now)
{
    constexpr double changed_backlog = 1e6;
    const auto told = peer.told.find(id);
    const bool backlogged = !account.waiting.empty();
    if (told == peer.told.end()) {
        return backlogged ? changed_backlog : total_service(account);
    }
    if (backlogged != (told->second.backlog > 0)) {
        return changed_backlog;
    }
    const double off = total_service(account) - service_at(told->second.service, now);
    return std::abs(off) / account.share;
}

void add_team(scheduler& state,
              exchange_peer& peer,
              protocol::exchange_summary& summary,
              const core::team_id& id,
              core::instant now)
{
    const auto& account = state.accounts.teams.at(id);
    const double least = state.accounts.fleet_order.empty() ? 0 : state.accounts.fleet_order.begin()->first;
    const auto own = state.exchange.own.find(id);
    const auto rate = static_cast<float>(own == state.exchange.own.end() ? 0.0 : own->second.rate);
    const auto backlog = static_cast<std::uint32_t>(account.waiting.size());
    summary.teams.push_back({.team = id,
                             .backlog = backlog,
                             .service = account.settled,
                             .rate = rate,
                             .running = static_cast<float>(account.running),
                             .lead = static_cast<float>(account.virtual_service - least)});
    peer.told[id] = {.service = {.service = total_service(account), .rate = rate, .at = now},
                     .backlog = backlog};
}

/// Teams that the receiver is most wrong about.
std::vector<core::team_id>
most_wrong(const scheduler& state, const exchange_peer& peer, std::size_t most, core::instant now)
{
    const auto usual = expect_any(state.estimates);
    const double threshold = notable_error * (usual.cost > 0 ? usual.cost : 1.0);
    std::vector<std::pair<double, core::team_id>> wrong;
    for (const auto& [id, account] : state.accounts.teams) {
        const double error = error_of(peer, id, account, now);
        if (error > threshold) {
            wrong.emplace_back(error, id);
        }
    }
    const auto count = std::min(most, wrong.size());
    std::partial_sort(wrong.begin(),
                      wrong.begin() + static_cast<std::ptrdiff_t>(count),
                      wrong.end(),
                      [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<core::team_id> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back(wrong[index].second);
    }
    return result;
}

bool is_worth_a_turn(const exchange_peer& peer, const core::team_id& id, const team_account& account)
{
    const auto told = peer.told.find(id);
    return !account.waiting.empty() || (told != peer.told.end() && told->second.service.rate > 0);
}

void add_teams_in_turn(scheduler& state,
                       exchange_peer& peer,
                       protocol::exchange_summary& summary,
                       std::size_t most,
                       core::instant now)
{
    const auto& teams = state.accounts.teams;
    const auto listed = [&](const core::team_id& id) {
        return std::any_of(
            summary.teams.begin(), summary.teams.end(), [&](const auto& team) { return team.team == id; });
    };
    std::size_t added = 0;
    auto item = teams.upper_bound(peer.cursor);
    for (std::size_t seen = 0; seen < teams.size() && added < most; ++seen) {
        if (item == teams.end()) {
            item = teams.begin();
        }
        const auto& [id, account] = *item++;
        peer.cursor = id;
        if (is_worth_a_turn(peer, id, account) && !listed(id)) {
            add_team(state, peer, summary, id, now);
            ++added;
        }
    }
}

/// What one interval leaves unused is there for the next ones, up to two full summaries.
void allow_teams(scheduler& state)
{
    const auto& options = state.options;
    const double seconds = std::chrono::duration<double>(options.exchange_interval).count();
    const double most = 2.0 * static_cast<double>(options.exchange_teams);
    auto& allowed = state.exchange.teams_allowed;
    allowed = std::min(most, allowed + options.exchange_teams_per_second * seconds);
}

protocol::exchange_summary
make_summary(scheduler& state, const peer_key& to, exchange_peer& peer, core::instant now)
{
    protocol::exchange_summary summary{.service = state.options.service,
                                       .domain = state.options.domain,
                                       .shard = state.options.shard,
                                       .to_shard = to.shard,
                                       .epoch = state.options.epoch,
                                       .sequence = ++state.exchange.sent_sequence,
                                       .slots = count_slots(state.endpoints),
                                       .spare = count_free(state.endpoints, now),
                                       .teams = {}};
    auto& allowed = state.exchange.teams_allowed;
    const auto room = std::min(state.options.exchange_teams, static_cast<std::size_t>(allowed));
    const auto in_turn = std::min(room, teams_in_turn);
    for (const auto& id : most_wrong(state, peer, room - in_turn, now)) {
        add_team(state, peer, summary, id, now);
    }
    add_teams_in_turn(state, peer, summary, in_turn, now);
    allowed -= static_cast<double>(summary.teams.size());
    return summary;
}

} // namespace

namespace detail
{

void send_summaries(scheduler& state, core::instant now, effects& out)
{
    auto& exchange = state.exchange;
    measure_own_service(state, now);
    allow_teams(state);
    const auto count = std::min(state.options.exchange_fan_out, exchange.peers.size());
    for (std::size_t sent = 0; sent < count; ++sent) {
        auto peer = exchange.peers.upper_bound(exchange.next_peer);
        if (peer == exchange.peers.end()) {
            peer = exchange.peers.begin();
        }
        exchange.next_peer = peer->first;
        if (peer->second.holder) {
            out.messages.push_back(
                {.to = peer->second.holder, .body = make_summary(state, peer->first, peer->second, now)});
        }
    }
}

} // namespace detail

} // namespace hibiscusfall::scheduling
