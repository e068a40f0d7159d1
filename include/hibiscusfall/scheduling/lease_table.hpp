#pragma once

#include "hibiscusfall/protocol/scheduling_messages.hpp"
#include "hibiscusfall/scheduling/ticket.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace hibiscusfall::scheduling
{

/// @brief A slot in use, or promised to a scheduler elsewhere.
struct slot_in_use {
    protocol::slot_id id;
    ticket_key holder; ///< No router while the slot is only offered.
    core::endpoint_id endpoint;
    core::team_id team;
    double hint = 0;
    double charged = 0;
    double cost_so_far = 0;
    bool is_long = false;
    bool adopted = false; ///< Learned from its router, not granted by this process.
    core::instant granted{};
    core::instant reported{}; ///< When cost_so_far was last told.
};

/// @brief All slots that one start of a router holds; they live and lapse together.
struct router_lease {
    std::uint64_t incarnation = 0;
    std::set<protocol::slot_id> slots;
    std::uint64_t digest = 0;
    core::instant lease_end{};
};

/// @brief Slots in use by number, by ticket and by router.
struct lease_table {
    std::map<protocol::slot_id, slot_in_use> slots;
    std::map<ticket_key, protocol::slot_id> by_ticket;
    std::map<core::instance_id, router_lease> routers;

    /// Slots and tickets that ended lately, so that late messages do not bring them back.
    std::set<protocol::slot_id> ended_slots;
    std::deque<protocol::slot_id> ended_slot_order;
    /// Slots that returned without a release, with their teams; their service is counted when it shows.
    std::map<protocol::slot_id, core::team_id> lost_slots;
    std::deque<protocol::slot_id> lost_slot_order;
    std::set<ticket_key> ended_tickets;
    std::deque<ticket_key> ended_ticket_order;
};

/// @brief A slot's part of a digest; digests of several slots combine by exclusive or.
[[nodiscard]] std::uint64_t slot_digest(const protocol::slot_id& id) noexcept;

/// @brief Adds a slot under its holder. The lease end counts for a holder without other slots; only
/// messages of a router make its lease longer.
slot_in_use& add_slot(lease_table& table, slot_in_use slot, core::instant lease_end);

/// @brief Gives an offered slot its holder.
void set_holder(lease_table& table, slot_in_use& slot, const ticket_key& holder, core::instant lease_end);

/// @brief Takes a slot out.
/// @returns Nothing when it is not in use.
std::optional<slot_in_use> remove_slot(lease_table& table, const protocol::slot_id& id);

[[nodiscard]] slot_in_use* find_slot(lease_table& table, const protocol::slot_id& id);
[[nodiscard]] slot_in_use* find_by_ticket(lease_table& table, const ticket_key& key);

/// @brief Remembers that a removed slot may still be in use: its router may report or release it.
void lose_slot(lease_table& table, const protocol::slot_id& id, const core::team_id& team);

/// @brief Remembers that a ticket will never need a slot again.
void end_ticket(lease_table& table, const ticket_key& key);

} // namespace hibiscusfall::scheduling
