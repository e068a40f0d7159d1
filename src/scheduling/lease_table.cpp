#include "hibiscusfall/scheduling/lease_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace hibiscusfall::scheduling
{

namespace
{

constexpr std::size_t remembered_ends = 4096;

template <class type>
void remember(std::set<type>& members, std::deque<type>& order, const type& value)
{
    if (!members.insert(value).second) {
        return;
    }
    order.push_back(value);
    if (order.size() > remembered_ends) {
        members.erase(order.front());
        order.pop_front();
    }
}

void remove_from_router(lease_table& table, const slot_in_use& slot)
{
    const auto router = table.routers.find(slot.holder.router);
    if (router == table.routers.end() || router->second.slots.erase(slot.id) == 0) {
        return;
    }
    router->second.digest ^= slot_digest(slot.id);
    if (router->second.slots.empty()) {
        table.routers.erase(router);
    }
}

} // namespace

std::uint64_t slot_digest(const protocol::slot_id& id) noexcept
{
    const std::array<std::uint64_t, 2> words{id.epoch, id.number};
    return XXH3_64bits(words.data(), sizeof(words));
}

slot_in_use& add_slot(lease_table& table, slot_in_use slot, core::instant lease_end)
{
    const auto holder = slot.holder;
    auto& added = table.slots.insert_or_assign(slot.id, std::move(slot)).first->second;
    if (holder.router) {
        set_holder(table, added, holder, lease_end);
    }
    return added;
}

void set_holder(lease_table& table, slot_in_use& slot, const ticket_key& holder, core::instant lease_end)
{
    slot.holder = holder;
    table.by_ticket[holder] = slot.id;
    auto [item, is_new] = table.routers.try_emplace(holder.router);
    auto& lease = item->second;
    lease.incarnation = std::max(lease.incarnation, holder.incarnation);
    if (is_new) {
        lease.lease_end = lease_end;
    }
    if (lease.slots.insert(slot.id).second) {
        lease.digest ^= slot_digest(slot.id);
    }
}

std::optional<slot_in_use> remove_slot(lease_table& table, const protocol::slot_id& id)
{
    const auto found = table.slots.find(id);
    if (found == table.slots.end()) {
        return std::nullopt;
    }
    auto slot = std::move(found->second);
    table.slots.erase(found);
    remove_from_router(table, slot);
    if (const auto ticket = table.by_ticket.find(slot.holder);
        ticket != table.by_ticket.end() && ticket->second == id) {
        table.by_ticket.erase(ticket);
    }
    remember(table.ended_slots, table.ended_slot_order, id);
    return slot;
}

slot_in_use* find_slot(lease_table& table, const protocol::slot_id& id)
{
    const auto found = table.slots.find(id);
    return found == table.slots.end() ? nullptr : &found->second;
}

slot_in_use* find_by_ticket(lease_table& table, const ticket_key& key)
{
    const auto found = table.by_ticket.find(key);
    return found == table.by_ticket.end() ? nullptr : find_slot(table, found->second);
}

void lose_slot(lease_table& table, const protocol::slot_id& id, const core::team_id& team)
{
    table.ended_slots.erase(id);
    if (!table.lost_slots.insert_or_assign(id, team).second) {
        return;
    }
    table.lost_slot_order.push_back(id);
    if (table.lost_slot_order.size() > remembered_ends) {
        table.lost_slots.erase(table.lost_slot_order.front());
        table.lost_slot_order.pop_front();
    }
}

void end_ticket(lease_table& table, const ticket_key& key)
{
    remember(table.ended_tickets, table.ended_ticket_order, key);
}

} // namespace hibiscusfall::scheduling
