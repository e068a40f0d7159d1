#include "hibiscusfall/scheduling/slot_client.hpp"

#include "slot_client_steps.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusfall::scheduling
{

namespace
{

scheduler_role role_for(const slot_client& state, const core::service_id& service, std::uint64_t ticket)
{
    const auto found = state.topology.shards.find(service);
    const std::uint64_t shards = found == state.topology.shards.end() ? 1 : found->second;
    return {.service = service,
            .domain = state.options.domain,
            .shard = static_cast<std::uint32_t>(ticket % std::max<std::uint64_t>(shards, 1))};
}

core::instance_id holder_of(const slot_client& state, const scheduler_role& role)
{
    const auto found = state.topology.holders.find(role);
    return found == state.topology.holders.end() ? core::instance_id{} : found->second;
}

void send_open(slot_client& state, std::uint64_t number, open_ticket& ticket, core::instant now, effects& out)
{
    ticket.sent = now;
    detail::note_asked(state, ticket.role, now);
    const auto holder = holder_of(state, ticket.role);
    if (!holder) {
        return;
    }
    const auto& request = ticket.request;
    out.messages.push_back({.to = holder,
                            .body = protocol::ticket_open{.ticket = number,
                                                          .service = request.service,
                                                          .team = request.team,
                                                          .cost = request.cost,
                                                          .is_long = request.is_long,
                                                          .remaining = core::elapsed(now, request.deadline),
                                                          .waited = core::elapsed(request.arrived, now),
                                                          .prefix = request.prefix,
                                                          .excluded = request.excluded,
                                                          .shard = ticket.role.shard}});
}

void send_release(client_slot& slot, core::instant now, effects& out)
{
    slot.sent = now;
    if (slot.owner) {
        out.messages.push_back({.to = slot.owner, .body = slot.release});
    }
}

void forget_slot(slot_client& state, std::map<std::uint64_t, client_slot>::iterator slot)
{
    state.by_slot.erase(slot->second.held.slot);
    state.slots.erase(slot);
}

void leave_endpoint(slot_client& state, const core::endpoint_id& endpoint)
{
    const auto found = state.in_flight.find(endpoint);
    if (found != state.in_flight.end() && --found->second == 0) {
        state.in_flight.erase(found);
    }
}

core::slot_denied to_denial(const protocol::ticket_refuse& message)
{
    switch (message.reason) {
    case protocol::ticket_refusal::queue_full:
        return {.reason = core::failure::queue_full,
                .detail = "the team's queue at the scheduler is full",
                .retry_after = message.retry_after};
    case protocol::ticket_refusal::deadline:
        return {.reason = core::failure::deadline,
                .detail = "the queue is too long for the deadline",
                .retry_after = message.retry_after};
    case protocol::ticket_refusal::no_endpoint:
        return {.reason = core::failure::no_endpoint,
                .detail = "no endpoint of the service is in service",
                .retry_after = message.retry_after};
    }
    return {
        .reason = core::failure::internal, .detail = "unknown refusal", .retry_after = message.retry_after};
}

void end_at_deadline(slot_client& state, std::uint64_t number, effects& out)
{
    out.answers.push_back({.ticket = number,
                           .answer = core::slot_denied{.reason = core::failure::deadline,
                                                       .detail = "no slot came free before the deadline",
                                                       .retry_after = {}}});
    cancel_ticket(state, number, out);
}

void resend_releases(slot_client& state, core::instant now, effects& out)
{
    for (auto item = state.slots.begin(); item != state.slots.end();) {
        auto current = item++;
        auto& slot = current->second;
        if (!slot.released) {
            continue;
        }
        if (core::elapsed(slot.released_at, now) > state.options.release_limit) {
            forget_slot(state, current);
        } else if (core::elapsed(slot.sent, now) >= state.options.resend_after) {
            send_release(slot, now, out);
        }
    }
}

} // namespace

namespace detail
{

void note_asked(slot_client& state, const scheduler_role& role, core::instant now)
{
    auto& link = state.links[role];
    if (link.asked == core::instant{}) {
        link.asked = now;
    }
}

void note_heard(slot_client& state, const core::instance_id& from)
{
    for (auto& [role, link] : state.links) {
        if (link.holder == from) {
            link.asked = {};
        }
    }
}

void take_slot(slot_client& state,
               std::uint64_t ticket,
               client_slot slot,
               const core::slot_granted& answer,
               effects& out)
{
    state.open.erase(ticket);
    ++state.in_flight[slot.held.endpoint];
    state.by_slot[slot.held.slot] = ticket;
    state.slots.insert_or_assign(ticket, std::move(slot));
    out.answers.push_back({.ticket = ticket, .answer = answer});
}

} // namespace detail

void set_topology(slot_client& state, scheduling_topology topology, core::instant now, effects& out)
{
    state.topology = std::move(topology);
    std::vector<scheduler_role> moved;
    for (const auto& [role, holder] : state.topology.holders) {
        auto& link = state.links[role];
        if (link.holder != holder) {
            link = {.holder = holder, .asked = {}, .renewed = now};
            moved.push_back(role);
        }
    }
    std::erase_if(state.links,
                  [&](const auto& item) { return !state.topology.holders.contains(item.first); });
    for (const auto& role : moved) {
        const auto holder = holder_of(state, role);
        bool holds_slots = false;
        for (auto& [ticket, slot] : state.slots) {
            if (slot.role == role) {
                slot.owner = holder;
                holds_slots = true;
            }
        }
        if (holds_slots && !state.options.alone) {
            detail::send_list(state, role, holder, now, out);
        }
    }
    for (auto& [number, ticket] : state.open) {
        const auto role = role_for(state, ticket.request.service, number);
        if (role != ticket.role || std::find(moved.begin(), moved.end(), role) != moved.end()) {
            ticket.role = role;
            ticket.acknowledged = false;
            send_open(state, number, ticket, now, out);
        }
    }
}

std::uint64_t
open_ticket_for(slot_client& state, const core::slot_request& request, core::instant now, effects& out)
{
    const auto number = ++state.last_ticket;
    auto& ticket = state.open[number];
    ticket.request = request;
    if (state.options.alone) {
        detail::serve_unscheduled(state, number, now, out);
        return number;
    }
    ticket.role = role_for(state, request.service, number);
    send_open(state, number, ticket, now, out);
    return number;
}

void cancel_ticket(slot_client& state, std::uint64_t ticket, effects& out)
{
    const auto found = state.open.find(ticket);
    if (found == state.open.end()) {
        return;
    }
    const auto role = found->second.role;
    state.open.erase(found);
    if (const auto holder = holder_of(state, role)) {
        out.messages.push_back({.to = holder,
                                .body = protocol::ticket_cancel{
                                    .ticket = ticket, .service = role.service, .shard = role.shard}});
    }
}

void report_progress(slot_client& state, std::uint64_t ticket, const core::run_progress& progress)
{
    const auto slot = state.slots.find(ticket);
    if (slot != state.slots.end()) {
        slot->second.held.cost_so_far = static_cast<float>(progress.cost);
        slot->second.first_token = progress.first_token;
    }
}

void release_slot(
    slot_client& state, std::uint64_t ticket, const core::slot_usage& usage, core::instant now, effects& out)
{
    const auto found = state.slots.find(ticket);
    if (found == state.slots.end() || found->second.released) {
        return;
    }
    auto& slot = found->second;
    leave_endpoint(state, slot.held.endpoint);
    if (state.options.alone) {
        forget_slot(state, found);
        return;
    }
    slot.released = true;
    slot.released_at = now;
    slot.release = {.slot = slot.held.slot,
                    .answered = usage.answered,
                    .cost = static_cast<float>(usage.cost),
                    .endpoint_failed = usage.endpoint_failed,
                    .first_token = usage.first_token,
                    .between_tokens = usage.between_tokens};
    send_release(slot, now, out);
}

void on_grant(slot_client& state,
              const protocol::sender& from,
              const protocol::slot_grant& message,
              core::instant now,
              effects& out)
{
    detail::note_heard(state, from.id);
    const auto owner = message.owner ? message.owner : from.id;
    const auto found = state.open.find(message.ticket);
    if (found == state.open.end()) {
        if (!state.by_slot.contains(message.slot)) {
            // The ticket was cancelled, or got another slot: this one goes back unused.
            out.messages.push_back({.to = owner, .body = protocol::slot_release{.slot = message.slot}});
        }
        return;
    }
    const auto request = std::move(found->second.request);
    const auto place = state.topology.endpoints.find(message.endpoint);
    const auto role = place == state.topology.endpoints.end() ? found->second.role : place->second.role;
    detail::take_slot(state,
                      message.ticket,
                      {.held = {.slot = message.slot,
                                .ticket = message.ticket,
                                .endpoint = message.endpoint,
                                .team = request.team,
                                .cost_so_far = 0},
                       .role = role,
                       .owner = owner,
                       .granted = now,
                       .released_at = {},
                       .release = {},
                       .sent = now},
                      {.ticket = message.ticket,
                       .endpoint = message.endpoint,
                       .wait = core::elapsed(request.arrived, now),
                       .queue_length = message.queue_length,
                       .alternatives = message.alternatives},
                      out);
}

void on_refuse(slot_client& state,
               const protocol::sender& from,
               const protocol::ticket_refuse& message,
               effects& out)
{
    detail::note_heard(state, from.id);
    if (state.open.erase(message.ticket) > 0) {
        out.answers.push_back({.ticket = message.ticket, .answer = to_denial(message)});
    }
}

void on_acknowledgement(slot_client& state,
                        const protocol::sender& from,
                        const protocol::scheduler_acknowledgement& message)
{
    detail::note_heard(state, from.id);
    for (const auto& id : message.slots) {
        const auto ticket = state.by_slot.find(id);
        if (ticket == state.by_slot.end()) {
            continue;
        }
        const auto slot = state.slots.find(ticket->second);
        if (slot != state.slots.end() && slot->second.released) {
            forget_slot(state, slot);
        }
    }
    for (const auto number : message.tickets) {
        const auto ticket = state.open.find(number);
        if (ticket != state.open.end() && holder_of(state, ticket->second.role) == from.id) {
            ticket->second.acknowledged = true;
        }
    }
}

void on_notice(slot_client& state,
               const protocol::sender& from,
               const protocol::scheduler_notice& message,
               core::instant now,
               effects& out)
{
    detail::note_heard(state, from.id);
    const scheduler_role role{.service = message.service, .domain = message.domain, .shard = message.shard};
    if (message.wants_slots) {
        detail::send_list(state, role, from.id, now, out);
    }
    if (!message.wants_tickets) {
        return;
    }
    for (auto& [number, ticket] : state.open) {
        if (ticket.role == role) {
            ticket.acknowledged = false;
            send_open(state, number, ticket, now, out);
        }
    }
}

void on_tick(slot_client& state, core::instant now, effects& out)
{
    for (auto item = state.open.begin(); item != state.open.end();) {
        auto current = item++;
        auto& [number, ticket] = *current;
        if (ticket.request.deadline <= now) {
            end_at_deadline(state, number, out);
        } else if (!ticket.acknowledged && core::elapsed(ticket.sent, now) >= state.options.resend_after) {
            send_open(state, number, ticket, now, out);
        }
    }
    resend_releases(state, now, out);
    detail::renew_leases(state, now, out);
    detail::serve_alone(state, now, out);
}

} // namespace hibiscusfall::scheduling
