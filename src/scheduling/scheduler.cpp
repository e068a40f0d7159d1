#include "hibiscusfall/scheduling/scheduler.hpp"

#include "hibiscusfall/scheduling/rendezvous.hpp"

#include "scheduler_steps.hpp"

#include <algorithm>

namespace hibiscusfall::scheduling
{

namespace
{

/// Above the incarnation of every start.
constexpr std::uint64_t any_start = ~std::uint64_t{0};

/// Ends a slot without a release; a router that was only paused may report it again.
void lapse_slot(scheduler& state, const protocol::slot_id& id)
{
    const auto team = find_slot(state.leases, id)->team;
    detail::free_slot(state, id, 0);
    lose_slot(state.leases, id, team);
    ++state.counters.lapsed_leases;
}

void lapse_leases(scheduler& state, core::instant now)
{
    std::vector<protocol::slot_id> lapsed;
    std::vector<core::instance_id> silent;
    for (const auto& [router, lease] : state.leases.routers) {
        if (lease.lease_end < now) {
            lapsed.insert(lapsed.end(), lease.slots.begin(), lease.slots.end());
            silent.push_back(router);
        }
    }
    for (const auto& router : silent) {
        // A router that was only paused sends its tickets again.
        drop_tickets(state.accounts, router, any_start);
    }
    for (const auto& id : lapsed) {
        lapse_slot(state, id);
    }
}

/// Work that runs much longer than most counts as long from then on.
void mark_stragglers(scheduler& state, core::instant now)
{
    constexpr std::uint32_t enough_samples = 10;
    const auto usual = expect_any(state.estimates);
    if (usual.samples < enough_samples) {
        return;
    }
    const auto longest = static_cast<double>(usual.run_time.count()) * state.options.long_factor;
    for (auto& [id, slot] : state.leases.slots) {
        if (!slot.is_long && static_cast<double>(core::elapsed(slot.granted, now).count()) > longest) {
            slot.is_long = true;
            mark_long(state.endpoints, slot.endpoint);
        }
    }
}

/// Looks again at what no message tells: work that runs on, and endpoints that nothing is heard of.
void review_endpoints(scheduler& state, core::instant now)
{
    constexpr core::duration interval = std::chrono::milliseconds{500};
    if (now < state.next_review) {
        return;
    }
    state.next_review = now + interval;
    mark_stragglers(state, now);
    forget_old_samples(state.endpoints, now);
}

void send_acknowledgements(scheduler& state, core::instant now, effects& out)
{
    std::vector<core::instance_id> due;
    for (const auto& [router, pending] : state.acknowledgements) {
        if (core::elapsed(pending.since, now) >= state.options.acknowledge_after) {
            due.push_back(router);
        }
    }
    for (const auto& router : due) {
        detail::acknowledge(state, router, out);
    }
}

} // namespace

namespace detail
{

protocol::scheduler_acknowledgement&
acknowledgement_for(scheduler& state, const core::instance_id& router, core::instant now)
{
    const auto [item, is_new] = state.acknowledgements.try_emplace(router);
    if (is_new) {
        item->second.since = now;
    }
    return item->second.body;
}

void free_slot(scheduler& state, const protocol::slot_id& id, double actual_cost)
{
    const auto slot = remove_slot(state.leases, id);
    if (!slot) {
        return;
    }
    vacate(state.endpoints, slot->endpoint, slot->is_long);
    settle(state.accounts, slot->team, slot->charged, actual_cost);
}

bool check_incarnation(scheduler& state, const protocol::sender& from)
{
    const auto lease = state.leases.routers.find(from.id);
    if (lease != state.leases.routers.end() && lease->second.incarnation != from.incarnation) {
        if (lease->second.incarnation > from.incarnation) {
            return false;
        }
        const auto old = lease->second.slots;
        for (const auto& id : old) {
            free_slot(state, id, 0);
            ++state.counters.lapsed_leases;
        }
    }
    drop_tickets(state.accounts, from.id, from.incarnation);
    return true;
}

void acknowledge(scheduler& state, const core::instance_id& router, effects& out)
{
    if (auto pending = state.acknowledgements.extract(router)) {
        out.messages.push_back({.to = router, .body = std::move(pending.mapped().body)});
    }
}

void extend_lease(scheduler& state, const core::instance_id& router, core::instant now)
{
    if (const auto lease = state.leases.routers.find(router); lease != state.leases.routers.end()) {
        lease->second.lease_end = now + state.options.lease;
    }
}

} // namespace detail

void on_configuration(scheduler& state,
                      const configuration::document& document,
                      std::uint32_t shard_count,
                      core::instant now,
                      effects& out)
{
    for (const auto& [id, team] : document.teams) {
        const double share = team.share;
        if (!state.accounts.teams.contains(id) || state.accounts.teams.at(id).share != share) {
            update_account(state.accounts, id, [share](team_account& account) { account.share = share; });
        }
    }
    std::erase_if(state.accounts.teams, [&](const auto& item) {
        return document.find(item.first) == nullptr && !item.second.backlogged() && item.second.running <= 0;
    });
    const auto* service = document.find(state.options.service);
    state.worth_per_token = service == nullptr ? 0 : service->worth_per_token;
    state.service_has_endpoints = false;
    for (auto& [id, slots] : state.endpoints.entries) {
        slots.removed = true;
    }
    for (const auto& [id, endpoint] : document.endpoints) {
        if (endpoint.service != state.options.service) {
            continue;
        }
        state.service_has_endpoints = state.service_has_endpoints || !endpoint.draining;
        if (endpoint.domain != state.options.domain || choose_shard(id, shard_count) != state.options.shard) {
            continue;
        }
        auto [item, is_new] = state.endpoints.entries.try_emplace(id);
        auto& slots = item->second;
        slots.limit =
            is_new || slots.limit >= slots.declared ? endpoint.slots : std::min(slots.limit, endpoint.slots);
        slots.declared = endpoint.slots;
        slots.draining = endpoint.draining;
        slots.removed = false;
    }
    std::erase_if(state.endpoints.entries,
                  [](const auto& item) { return item.second.removed && item.second.busy == 0; });
    detail::grant_free_slots(state, now, out);
}

void on_router_gone(scheduler& state, const core::instance_id& router, core::instant now, effects& out)
{
    drop_tickets(state.accounts, router, any_start);
    state.acknowledgements.erase(router);
    state.rebuild.awaiting.erase(router);
    if (const auto lease = state.leases.routers.find(router); lease != state.leases.routers.end()) {
        const auto held = lease->second.slots;
        for (const auto& id : held) {
            lapse_slot(state, id);
        }
    }
    detail::grant_free_slots(state, now, out);
}

void on_release(scheduler& state,
                const protocol::sender& from,
                const protocol::slot_release& message,
                core::instant now,
                effects& out)
{
    detail::acknowledgement_for(state, from.id, now).slots.push_back(message.slot);
    const auto* slot = find_slot(state.leases, message.slot);
    if (const auto lost = state.leases.lost_slots.find(message.slot);
        slot == nullptr && lost != state.leases.lost_slots.end()) {
        // It was in use all the while.
        settle(state.accounts, lost->second, 0, message.answered ? message.cost : 0);
        state.leases.lost_slots.erase(lost);
        return;
    }
    if (slot == nullptr || slot->holder.router != from.id || slot->holder.incarnation != from.incarnation) {
        return;
    }
    const auto ended = *slot;
    detail::extend_lease(state, from.id, now);
    end_ticket(state.leases, ended.holder);
    detail::free_slot(state, ended.id, message.answered ? message.cost : 0);
    const auto run_time = core::elapsed(ended.granted, now);
    if (message.answered && !ended.adopted) {
        learn(state.estimates, ended.team, ended.hint, message.cost, run_time);
    }
    observe_release(state.endpoints,
                    ended.endpoint,
                    ended.id.number,
                    {.answered = message.answered,
                     .cost = message.cost,
                     .endpoint_failed = message.endpoint_failed,
                     .first_token = message.first_token,
                     .between_tokens = message.between_tokens},
                    now);
    detail::grant_free_slots(state, now, out);
}

bool knows_slot(const scheduler& state, const protocol::slot_id& id)
{
    return id.epoch == state.options.epoch || state.leases.slots.contains(id) ||
           state.leases.ended_slots.contains(id);
}

void on_tick(scheduler& state, core::instant now, effects& out)
{
    if (!detail::finish_rebuild(state, now, out)) {
        detail::announce_again(state, out);
    }
    lapse_leases(state, now);
    detail::end_offers(state, now);
    review_endpoints(state, now);
    detail::refuse_late_tickets(state, now, out);
    detail::grant_free_slots(state, now, out);
    detail::exchange_summaries(state, now, out);
    send_acknowledgements(state, now, out);
}

} // namespace hibiscusfall::scheduling
