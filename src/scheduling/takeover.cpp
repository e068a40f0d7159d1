#include "scheduler_steps.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hibiscusfall::scheduling
{

namespace
{

protocol::scheduler_notice make_notice(const scheduler& state, bool wants_slots, bool wants_tickets)
{
    return {.service = state.options.service,
            .domain = state.options.domain,
            .shard = state.options.shard,
            .epoch = state.options.epoch,
            .wants_slots = wants_slots,
            .wants_tickets = wants_tickets};
}

/// Takes in a slot that its router holds and this process has not granted.
void adopt(scheduler& state, const protocol::sender& from, const protocol::held_slot& held, core::instant now)
{
    const ticket_key holder{.router = from.id, .incarnation = from.incarnation, .number = held.ticket};
    charge(state.accounts, held.team, held.cost_so_far);
    occupy(state.endpoints, held.endpoint, false, now);
    add_slot(state.leases,
             {.id = held.slot,
              .holder = holder,
              .endpoint = held.endpoint,
              .team = held.team,
              .hint = 0,
              .charged = held.cost_so_far,
              .cost_so_far = held.cost_so_far,
              .adopted = true,
              .granted = now,
              .reported = now},
             now + state.options.lease);
    dequeue(state.accounts, holder);
    ++state.counters.adopted_slots;
}

/// Takes in slots that a router lists as held.
void take_list(scheduler& state,
               const protocol::sender& from,
               const protocol::lease_renewal& message,
               core::instant now)
{
    auto& listed = state.partial_lists[from.id];
    for (const auto& held : message.slots) {
        listed.insert(held.slot);
        if (find_slot(state.leases, held.slot) == nullptr && !state.leases.ended_slots.contains(held.slot)) {
            adopt(state, from, held, now);
        }
    }
}

/// Ends a list: slots that were not in it are free, or their grants were lost on the way.
void end_list(scheduler& state,
              const protocol::sender& from,
              const protocol::lease_renewal& message,
              core::instant now,
              effects& out)
{
    const auto listed = std::exchange(state.partial_lists[from.id], {});
    state.partial_lists.erase(from.id);
    const auto lease = state.leases.routers.find(from.id);
    if (lease == state.leases.routers.end() || listed.size() != message.count) {
        return;
    }
    std::vector<protocol::slot_id> unlisted;
    std::set_difference(lease->second.slots.begin(),
                        lease->second.slots.end(),
                        listed.begin(),
                        listed.end(),
                        std::back_inserter(unlisted));
    for (const auto& id : unlisted) {
        const auto& slot = *find_slot(state.leases, id);
        if (core::elapsed(slot.granted, now) < state.options.grant_grace) {
            detail::send_grant(state, slot, {}, out);
        } else {
            detail::free_slot(state, id, 0);
            ++state.counters.lapsed_leases;
        }
    }
}

/// Takes in the speed that a running request shows.
void observe_running(scheduler& state,
                     const slot_in_use& slot,
                     const protocol::slot_progress& progress,
                     core::instant now)
{
    running_request seen{.number = slot.id.number, .first_token = progress.first_token, .between_tokens = {}};
    if (progress.cost_so_far <= 0) {
        // At the least it takes as long as it has run.
        seen.first_token = slot.adopted ? core::duration{} : core::elapsed(slot.granted, now);
    }
    const double growth = progress.cost_so_far - slot.cost_so_far;
    if (slot.cost_so_far > 0 && growth > 0 && state.worth_per_token > 0) {
        const double gap =
            static_cast<double>(core::elapsed(slot.reported, now).count()) * state.worth_per_token / growth;
        seen.between_tokens = core::duration{static_cast<core::duration::rep>(gap)};
    }
    observe_progress(state.endpoints, slot.endpoint, seen, now);
}

void take_progress(scheduler& state, const protocol::slot_progress& progress, core::instant now)
{
    auto* slot = find_slot(state.leases, progress.slot);
    if (slot == nullptr) {
        return;
    }
    observe_running(state, *slot, progress, now);
    slot->reported = now;
    slot->cost_so_far = std::max<double>(slot->cost_so_far, progress.cost_so_far);
    if (slot->cost_so_far > slot->charged) {
        charge(state.accounts, slot->team, slot->cost_so_far - slot->charged);
        slot->charged = slot->cost_so_far;
    }
}

bool same_slots(const scheduler& state, const protocol::sender& from, const protocol::lease_renewal& message)
{
    const auto lease = state.leases.routers.find(from.id);
    if (lease == state.leases.routers.end()) {
        return message.count == 0;
    }
    return lease->second.slots.size() == message.count && lease->second.digest == message.digest;
}

bool misses_tickets(const scheduler& state,
                    const protocol::sender& from,
                    const protocol::lease_renewal& message)
{
    const auto known = state.accounts.waiting_per_router.find(from.id);
    return message.waiting > (known == state.accounts.waiting_per_router.end() ? 0 : known->second);
}

} // namespace

void begin(scheduler& state, std::span<const core::instance_id> routers, core::instant now, effects& out)
{
    state.rebuild = {.running = true,
                     .earliest_end = now + state.options.rebuild_shortest,
                     .latest_end = now + state.options.rebuild_longest,
                     .awaiting = {routers.begin(), routers.end()}};
    ++state.counters.takeovers;
    for (const auto& router : routers) {
        out.messages.push_back({.to = router, .body = make_notice(state, true, true)});
    }
    out.decisions.push_back(telemetry::log_event{"scheduler_began"}
                                .with("service", state.options.service.view())
                                .with("failure_domain", state.options.domain.view())
                                .with("shard", state.options.shard)
                                .with("epoch", state.options.epoch)
                                .with("routers", routers.size()));
}

void yield_to_another(scheduler& state, core::instant now)
{
    // The members' views will agree soon; whoever still holds the role then goes on.
    constexpr core::duration pause = std::chrono::milliseconds{300};
    state.rebuild.running = true;
    state.rebuild.awaiting.clear();
    state.rebuild.earliest_end = now + pause;
    state.rebuild.latest_end = now + pause;
}

void on_renewal(scheduler& state,
                const protocol::sender& from,
                const protocol::lease_renewal& message,
                core::instant now,
                effects& out)
{
    if (!detail::check_incarnation(state, from)) {
        return;
    }
    detail::extend_lease(state, from.id, now);
    for (const auto& progress : message.progress) {
        take_progress(state, progress, now);
    }
    take_list(state, from, message, now);
    if (message.complete) {
        end_list(state, from, message, now, out);
        state.rebuild.awaiting.erase(from.id);
        detail::finish_rebuild(state, now, out);
        detail::grant_free_slots(state, now, out);
        return;
    }
    if (!message.slots.empty()) {
        return;
    }
    state.partial_lists.erase(from.id);
    const auto notice =
        make_notice(state, !same_slots(state, from, message), misses_tickets(state, from, message));
    out.messages.push_back({.to = from.id, .body = notice});
}

namespace detail
{

bool finish_rebuild(scheduler& state, core::instant now, effects& out)
{
    auto& rebuild = state.rebuild;
    if (!rebuild.running) {
        return true;
    }
    const bool all_answered = rebuild.awaiting.empty() && now >= rebuild.earliest_end;
    if (all_answered || now >= rebuild.latest_end) {
        rebuild.running = false;
        out.decisions.push_back(telemetry::log_event{"scheduler_rebuilt"}
                                    .with("service", state.options.service.view())
                                    .with("slots", state.leases.slots.size())
                                    .with("tickets", state.accounts.places.size())
                                    .with("silent_routers", rebuild.awaiting.size()));
        rebuild.awaiting.clear();
        return true;
    }
    return false;
}

void announce_again(scheduler& state, effects& out)
{
    for (const auto& router : state.rebuild.awaiting) {
        out.messages.push_back({.to = router, .body = make_notice(state, true, true)});
    }
}

} // namespace detail

} // namespace hibiscusfall::scheduling
