#include "scheduler_steps.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusfall::scheduling
{

namespace
{

constexpr std::size_t remembered_epochs = 8;

/// A scheduler that was not heard of for this many rounds of summaries is taken for unreachable.
constexpr int silent_rounds = 5;

core::duration round_time(const scheduler& state)
{
    const auto peers = std::max<std::size_t>(state.exchange.peers.size(), 1);
    const auto turns = (peers + state.options.exchange_fan_out - 1) / state.options.exchange_fan_out;
    return state.options.exchange_interval * turns;
}

void set_remote_backlog(scheduler& state,
                        exchange_peer& peer,
                        const core::team_id& team,
                        std::uint32_t backlog)
{
    auto& known = peer.teams[team];
    change_remote_backlog(state.accounts, team, known.backlog, backlog);
    known.backlog = backlog;
}

/// Nothing is expected any more of a scheduler that is silent or gone.
void forget_backlog(scheduler& state, exchange_peer& peer, core::instant now)
{
    peer.spare = 0;
    peer.slots = 0;
    for (auto& [team, known] : peer.teams) {
        set_remote_backlog(state, peer, team, 0);
        add_remote_service(state.accounts, team, detail::set_forecast(state, known, team, 0, now));
        known.was_silent = true;
    }
}

/// What ran under an earlier epoch is told again under the new one, by the routers that hold it.
void start_epoch(scheduler& state, exchange_peer& peer, std::uint64_t epoch, core::instant now)
{
    if (peer.epoch != 0) {
        peer.past_epochs.push_back(peer.epoch);
        if (peer.past_epochs.size() > remembered_epochs) {
            peer.past_epochs.pop_front();
        }
    }
    for (auto& [team, known] : peer.teams) {
        const double forecast = detail::set_forecast(state, known, team, 0, now);
        add_remote_service(state.accounts, team, forecast - known.running);
        known.running = 0;
        known.service = 0;
    }
    peer.epoch = epoch;
    peer.sequence = 0;
    peer.told.clear();
}

void merge_team(scheduler& state,
                exchange_peer& peer,
                const protocol::team_summary& summary,
                bool is_newest,
                core::instant now)
{
    auto [item, is_new] = peer.teams.try_emplace(summary.team);
    auto& known = item->second;
    const double settled = std::max(known.service, summary.service);
    // What a team had received before it was first told of is no service of now.
    double change = is_new ? 0 : settled - known.service;
    known.service = settled;
    if (is_newest) {
        change += summary.running - known.running;
        known.running = summary.running;
        change += detail::set_forecast(state, known, summary.team, summary.rate, now);
        known.no_offers_before = {};
        set_remote_backlog(state, peer, summary.team, summary.backlog);
    }
    if (change != 0) {
        add_remote_service(state.accounts, summary.team, change);
    }
    if (std::exchange(known.was_silent, false) && change != 0) {
        // What others gave alone is not paid back without bound.
        clamp_lead(state.accounts, state.options, summary.team);
    }
}

/// A scheduler that has just begun takes the order of the teams from the first summary.
void take_leads(scheduler& state, const protocol::exchange_summary& message)
{
    for (const auto& summary : message.teams) {
        const double lead = summary.lead;
        update_account(state.accounts, summary.team, [lead](team_account& account) {
            account.virtual_service = std::max(account.virtual_service, lead);
        });
    }
}

} // namespace

void set_peers(scheduler& state, const std::map<peer_key, core::instance_id>& holders, core::instant now)
{
    const peer_key own{.domain = state.options.domain, .shard = state.options.shard};
    for (const auto& [key, holder] : holders) {
        if (key == own) {
            continue;
        }
        auto& peer = state.exchange.peers[key];
        if (peer.holder != holder) {
            // A new holder knows nothing yet.
            peer.told.clear();
            peer.holder = holder;
        }
    }
    for (auto peer = state.exchange.peers.begin(); peer != state.exchange.peers.end();) {
        if (holders.contains(peer->first)) {
            ++peer;
            continue;
        }
        forget_backlog(state, peer->second, now);
        peer = state.exchange.peers.erase(peer);
    }
}

void on_summary(scheduler& state,
                const protocol::sender& from,
                const protocol::exchange_summary& message,
                core::instant now,
                effects& out)
{
    const auto found = state.exchange.peers.find({.domain = message.domain, .shard = message.shard});
    if (found == state.exchange.peers.end()) {
        return;
    }
    auto& peer = found->second;
    const auto& past = peer.past_epochs;
    if (std::find(past.begin(), past.end(), message.epoch) != past.end()) {
        return;
    }
    const bool first_contact = peer.epoch == 0;
    if (message.epoch != peer.epoch) {
        start_epoch(state, peer, message.epoch, now);
    }
    if (state.rebuild.running && first_contact) {
        take_leads(state, message);
    }
    const bool is_newest = message.sequence > peer.sequence;
    if (is_newest) {
        peer.sequence = message.sequence;
        peer.holder = from.id;
        peer.slots = message.slots;
        peer.spare = message.spare;
        peer.heard = now;
    }
    for (const auto& summary : message.teams) {
        merge_team(state, peer, summary, is_newest, now);
    }
    detail::grant_free_slots(state, now, out);
}

namespace detail
{

void exchange_summaries(scheduler& state, core::instant now, effects& out)
{
    advance_forecasts(state, now);
    const auto silence = silent_rounds * round_time(state);
    for (auto& [key, peer] : state.exchange.peers) {
        if (peer.epoch != 0 && (peer.slots > 0 || peer.heard != core::instant{}) &&
            core::elapsed(peer.heard, now) > silence) {
            forget_backlog(state, peer, now);
            peer.heard = {};
        }
    }
    if (now >= state.exchange.next_summary) {
        state.exchange.next_summary = now + state.options.exchange_interval;
        detail::send_summaries(state, now, out);
    }
}

} // namespace detail

} // namespace hibiscusfall::scheduling
