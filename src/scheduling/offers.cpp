#include "scheduler_steps.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace hibiscusfall::scheduling
{

namespace
{

/// Teams elsewhere that are weighed for one free slot.
constexpr std::size_t teams_weighed = 8;

/// What is known of the schedulers elsewhere is this old on average.
core::duration mean_age(const scheduler& state)
{
    const auto peers = std::max<std::size_t>(state.exchange.peers.size(), 1);
    const auto turns = (peers + state.options.exchange_fan_out - 1) / state.options.exchange_fan_out;
    return state.options.exchange_interval * turns / 2;
}

double mean_cost(const scheduler& state)
{
    const auto usual = expect_any(state.estimates);
    return usual.samples > 0 && usual.cost > 0 ? usual.cost : 1.0;
}

/// A number in [0, 1) that differs between schedulers and teams, and with @p turn.
double phase_of(const scheduler& state, const core::team_id& team, std::uint64_t turn)
{
    const std::array<std::uint64_t, 2> words{state.options.epoch, turn};
    const auto seed = XXH3_64bits(words.data(), sizeof(words));
    const auto hash = XXH3_64bits_withSeed(team.view().data(), team.view().size(), seed);
    return std::ldexp(static_cast<double>(hash), -64);
}

/// The scheduler elsewhere with most tickets of a team.
exchange_peer* find_borrower(scheduler& state, const core::team_id& team, core::instant now, peer_key& key)
{
    exchange_peer* best = nullptr;
    std::uint32_t most = 0;
    for (auto& [candidate, peer] : state.exchange.peers) {
        const auto known = peer.teams.find(team);
        if (known != peer.teams.end() && peer.holder && known->second.no_offers_before <= now &&
            known->second.backlog > most) {
            most = known->second.backlog;
            best = &peer;
            key = candidate;
        }
    }
    return best;
}

/// This scheduler's part of what all lenders together should offer.
struct lender_part {
    double of_lag = 1.0;     ///< Its slots against all slots.
    double of_backlog = 1.0; ///< Its spare slots against all spare slots.
};

lender_part part_of_lenders(const scheduler& state, core::instant now)
{
    const double own_slots = count_slots(state.endpoints);
    const double own_spare = count_free(state.endpoints, now);
    double slots = own_slots;
    double spare = own_spare;
    for (const auto& [key, peer] : state.exchange.peers) {
        slots += peer.slots;
        spare += peer.spare;
    }
    return {.of_lag = slots > 0 ? own_slots / slots : 1.0, .of_backlog = spare > 0 ? own_spare / spare : 1.0};
}

offer_window& current_window(scheduler& state, const core::team_id& team, core::instant now)
{
    const auto number = static_cast<std::uint64_t>(now.time_since_epoch() / state.options.exchange_interval);
    auto& window = state.exchange.windows[team];
    if (window.number != number) {
        window = {.number = number, .made = 0};
    }
    return window;
}

/// How many slots this scheduler may offer to a team in one window, in all.
std::uint32_t
offers_allowed(const scheduler& state, const core::team_id& team, double wanted, std::uint64_t window)
{
    // Parts below one are rounded up by some schedulers in some windows, so that the sum is right.
    return static_cast<std::uint32_t>(std::floor(std::max(wanted, 0.0) + phase_of(state, team, window)));
}

struct offer_choice {
    core::team_id team;
    peer_key to;
    bool idle = false; ///< Offered because nobody waits here.
    double lag = 0;
    double part = 1.0; ///< This scheduler's part of all lenders.
};

std::optional<offer_choice> choose_offer(scheduler& state, core::instant now)
{
    const auto part = part_of_lenders(state, now);
    const double cost = mean_cost(state);
    const bool idle = state.accounts.local_order.empty();
    std::size_t weighed = 0;
    for (const auto& [service, team] : state.accounts.fleet_order) {
        const auto& account = state.accounts.teams.at(team);
        if (account.remote_backlog == 0) {
            continue;
        }
        if (++weighed > teams_weighed) {
            break;
        }
        const double own_part = idle ? part.of_backlog : part.of_lag;
        const double head = idle ? service : state.accounts.local_order.begin()->first;
        const double unit = cost / account.share;
        const double lag = head - service - state.options.offer_threshold * unit;
        if (!idle && lag <= 0) {
            break;
        }
        // The lenders begin at different lags, spread over what they offer together in one turn each.
        if (!idle && lag <= phase_of(state, team, 0) * (unit / own_part - unit)) {
            continue;
        }
        const auto& window = current_window(state, team, now);
        if (window.made >= offers_allowed(state, team, account.remote_backlog * own_part, window.number)) {
            continue;
        }
        offer_choice choice{.team = team, .to = {}, .idle = idle, .lag = lag, .part = own_part};
        if (find_borrower(state, team, now, choice.to) != nullptr) {
            return choice;
        }
    }
    return std::nullopt;
}

void log_offer(const scheduler& state,
               const offer_choice& choice,
               const endpoint_choice& endpoint,
               effects& out)
{
    if (!telemetry::logs_decisions()) {
        return;
    }
    out.decisions.push_back(telemetry::log_event{"slot_offered"}
                                .with("team", choice.team.view())
                                .with("service", state.options.service.view())
                                .with("endpoint", endpoint.id.view())
                                .with("to", choice.to.domain.view())
                                .with("reason", choice.idle ? "idle" : "lag")
                                .with("lag", choice.lag)
                                .with("alternatives", endpoint.alternatives)
                                .with("queue_length", state.accounts.places.size()));
}

/// Offers to a peer wait for three round trips, within bounds.
core::duration offer_timeout(const scheduler& state, const exchange_peer& peer)
{
    constexpr int round_trips = 3;
    return std::clamp(
        round_trips * peer.round_trip, state.options.offer_timeout, state.options.longest_offer_timeout);
}

void note_round_trip(exchange_peer& peer, core::duration sample)
{
    constexpr int weight = 4;
    peer.round_trip += (sample - peer.round_trip) / weight;
}

/// Takes an answered offer out and learns the round trip from it.
void close_offer(scheduler& state, const protocol::slot_id& slot, core::instant now)
{
    auto& offers = state.exchange.offers;
    const auto offer =
        std::find_if(offers.begin(), offers.end(), [&](const auto& item) { return item.slot == slot; });
    if (offer == offers.end()) {
        return;
    }
    if (const auto peer = state.exchange.peers.find(offer->to); peer != state.exchange.peers.end()) {
        note_round_trip(peer->second, core::elapsed(offer->made, now));
    }
    offers.erase(offer);
}

/// Frees a slot whose offer was not answered in time.
void end_offer(scheduler& state, const open_offer& offer, core::instant now)
{
    const auto* slot = find_slot(state.leases, offer.slot);
    if (slot == nullptr || slot->holder.router) {
        return;
    }
    const auto team = slot->team;
    detail::free_slot(state, offer.slot, 0);
    // The borrower may have granted it although its answer was lost.
    lose_slot(state.leases, offer.slot, team);
    ++state.counters.offers_declined;
    const auto peer = state.exchange.peers.find(offer.to);
    if (peer == state.exchange.peers.end()) {
        return;
    }
    note_round_trip(peer->second, 2 * core::elapsed(offer.made, now));
    peer->second.teams[team].no_offers_before = now + 2 * state.options.offer_timeout;
}

/// No further offers for the team go there before the next summary. The backlog stays counted: a team that
/// seems to become backlogged anew would be lifted and lose what it is behind.
void note_declined(scheduler& state,
                   const core::team_id& team,
                   const core::instance_id& holder,
                   core::instant now)
{
    for (auto& [key, peer] : state.exchange.peers) {
        if (const auto known = peer.teams.find(team); peer.holder == holder && known != peer.teams.end()) {
            known->second.no_offers_before = now + 2 * mean_age(state);
        }
    }
}

} // namespace

void on_offer_answer(scheduler& state,
                     const protocol::sender& from,
                     const protocol::offer_answer& message,
                     core::instant now,
                     effects& out)
{
    close_offer(state, message.slot, now);
    auto* slot = find_slot(state.leases, message.slot);
    if (slot == nullptr || slot->holder.router) {
        // Answered too late, or twice; a slot that is in use all the same is adopted at its next renewal.
        return;
    }
    if (!message.router) {
        ++state.counters.offers_declined;
        const auto team = slot->team;
        detail::free_slot(state, message.slot, 0);
        note_declined(state, team, from.id, now);
        detail::grant_free_slots(state, now, out);
        return;
    }
    ++state.counters.offers_taken;
    charge(state.accounts, slot->team, message.cost - slot->charged);
    slot->charged = message.cost;
    slot->granted = now;
    slot->reported = now;
    set_holder(state.leases,
               *slot,
               {.router = message.router, .incarnation = message.incarnation, .number = message.ticket},
               now + state.options.lease);
}

namespace detail
{

void expect_service(scheduler& state, const core::team_id& team, double amount, core::instant now)
{
    add_remote_service(state.accounts, team, amount);
    state.exchange.expected.push_back({.team = team, .amount = amount, .ends = now + mean_age(state)});
}

bool offer_slot(scheduler& state, core::instant now, effects& out)
{
    if (state.exchange.peers.empty()) {
        return false;
    }
    const auto choice = choose_offer(state, now);
    if (!choice) {
        return false;
    }
    const auto endpoint = choose_endpoint(state.endpoints, state.options, {}, false, now);
    if (!endpoint) {
        return false;
    }
    const double cost = mean_cost(state);
    const protocol::slot_id id{.epoch = state.options.epoch, .number = ++state.last_slot};
    charge(state.accounts, choice->team, cost);
    if (!choice->idle) {
        // All lenders see the same team behind; the others are expected to make up their parts.
        expect_service(state, choice->team, cost / choice->part - cost, now);
    }
    occupy(state.endpoints, endpoint->id, false, now);
    add_slot(state.leases,
             {.id = id,
              .holder = {},
              .endpoint = endpoint->id,
              .team = choice->team,
              .hint = 0,
              .charged = cost,
              .granted = now,
              .reported = now},
             {});
    ++current_window(state, choice->team, now).made;
    ++state.counters.offers_made;
    state.exchange.offers.push_back(
        {.slot = id,
         .to = choice->to,
         .made = now,
         .ends = now + offer_timeout(state, state.exchange.peers.at(choice->to))});
    out.messages.push_back({.to = state.exchange.peers.at(choice->to).holder,
                            .body = protocol::slot_offer{.service = state.options.service,
                                                         .to_shard = choice->to.shard,
                                                         .slot = id,
                                                         .team = choice->team,
                                                         .endpoint = endpoint->id}});
    log_offer(state, *choice, *endpoint, out);
    return true;
}

void end_offers(scheduler& state, core::instant now)
{
    std::vector<open_offer> late;
    std::erase_if(state.exchange.offers, [&](const open_offer& offer) {
        if (offer.ends > now) {
            return false;
        }
        late.push_back(offer);
        return true;
    });
    for (const auto& offer : late) {
        end_offer(state, offer, now);
    }
    auto& expected = state.exchange.expected;
    while (!expected.empty() && expected.front().ends <= now) {
        add_remote_service(state.accounts, expected.front().team, -expected.front().amount);
        expected.pop_front();
    }
    constexpr std::size_t most_windows = 4096;
    if (state.exchange.windows.size() > most_windows) {
        state.exchange.windows.clear();
    }
}

} // namespace detail

} // namespace hibiscusfall::scheduling
