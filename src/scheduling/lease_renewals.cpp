#include "slot_client_steps.hpp"

#include "hibiscusfall/scheduling/lease_table.hpp"

#include <algorithm>
#include <set>

namespace hibiscusfall::scheduling::detail
{

namespace
{

/// A scheduler hears of a running request's cost when it has grown by this factor.
constexpr float notable_growth = 1.25F;

/// A request that has shown nothing for this long is reported as well.
constexpr core::duration late_start = std::chrono::milliseconds{900};

bool is_notable(client_slot& slot, core::instant now)
{
    const auto cost = slot.held.cost_so_far;
    if (cost > 0 && cost >= slot.told_cost * notable_growth && cost > slot.told_cost) {
        return true;
    }
    return cost <= 0 && !slot.told_late && core::elapsed(slot.granted, now) >= late_start;
}

struct renewal_target {
    scheduler_role role;
    core::instance_id owner;

    [[nodiscard]] friend auto operator<=>(const renewal_target&, const renewal_target&) = default;
};

protocol::lease_renewal& renewal_for(std::map<renewal_target, protocol::lease_renewal>& renewals,
                                     const renewal_target& target)
{
    auto [item, is_new] = renewals.try_emplace(target);
    if (is_new) {
        item->second.service = target.role.service;
        item->second.shard = target.role.shard;
    }
    return item->second;
}

void count_slot(protocol::lease_renewal& renewal, const client_slot& slot)
{
    ++renewal.count;
    renewal.digest ^= slot_digest(slot.held.slot);
}

} // namespace

void send_list(slot_client& state,
               const scheduler_role& role,
               const core::instance_id& to,
               core::instant now,
               effects& out)
{
    if (!to) {
        return;
    }
    protocol::lease_renewal total{.service = role.service, .shard = role.shard};
    std::vector<protocol::held_slot> held;
    for (auto& [ticket, slot] : state.slots) {
        if (!slot.released && slot.role == role) {
            slot.owner = to;
            count_slot(total, slot);
            held.push_back(slot.held);
        }
    }
    std::size_t next = 0;
    do {
        const auto count = std::min(state.options.listed_slots, held.size() - next);
        auto part = total;
        const auto first = held.begin() + static_cast<std::ptrdiff_t>(next);
        part.slots.assign(first, first + static_cast<std::ptrdiff_t>(count));
        next += count;
        part.complete = next == held.size();
        out.messages.push_back({.to = to, .body = std::move(part)});
    } while (next < held.size());
    state.links[role].renewed = now;
}

void renew_leases(slot_client& state, core::instant now, effects& out)
{
    std::set<scheduler_role> due;
    for (auto& [role, link] : state.links) {
        if (core::elapsed(link.renewed, now) >= state.options.renew_after) {
            due.insert(role);
            link.renewed = now;
        }
    }
    if (due.empty()) {
        return;
    }
    std::map<renewal_target, protocol::lease_renewal> renewals;
    for (auto& [ticket, slot] : state.slots) {
        if (slot.released || !slot.owner || !due.contains(slot.role)) {
            continue;
        }
        auto& renewal = renewal_for(renewals, {.role = slot.role, .owner = slot.owner});
        count_slot(renewal, slot);
        if (is_notable(slot, now)) {
            slot.told_cost = slot.held.cost_so_far;
            slot.told_late = slot.told_late || slot.held.cost_so_far <= 0;
            renewal.progress.push_back({.slot = slot.held.slot,
                                        .cost_so_far = slot.held.cost_so_far,
                                        .first_token = slot.first_token});
        }
    }
    for (const auto& [number, ticket] : state.open) {
        const auto holder = state.topology.holders.find(ticket.role);
        if (due.contains(ticket.role) && ticket.acknowledged && holder != state.topology.holders.end()) {
            ++renewal_for(renewals, {.role = ticket.role, .owner = holder->second}).waiting;
        }
    }
    for (auto& [target, renewal] : renewals) {
        if (target.owner) {
            note_asked(state, target.role, now);
            out.messages.push_back({.to = target.owner, .body = std::move(renewal)});
        }
    }
}

} // namespace hibiscusfall::scheduling::detail
