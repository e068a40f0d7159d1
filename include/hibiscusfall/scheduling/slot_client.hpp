#pragma once

#include "hibiscusfall/configuration/document.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/core/slot_request.hpp"
#include "hibiscusfall/protocol/message.hpp"
#include "hibiscusfall/scheduling/effects.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace hibiscusfall::scheduling
{

/// @brief Times and bounds of the router's side of scheduling.
struct slot_client_options {
    protocol::sender self;
    core::failure_domain_id domain;
    bool alone = false; ///< No scheduler at all: the least loaded endpoint from this router's view.
    std::uint32_t most_in_flight = 1024; ///< With alone: further requests are refused.
    core::duration resend_after = std::chrono::milliseconds{100};
    core::duration renew_after = std::chrono::milliseconds{500};
    core::duration silence_limit = std::chrono::milliseconds{300}; ///< Then it serves without the scheduler.
    core::duration release_limit = std::chrono::seconds{3}; ///< Unacknowledged releases are given up then.
    std::size_t listed_slots = 64;                          ///< Slots in one message of a list.
};

/// @brief One scheduler: a shard of a service in a failure domain.
struct scheduler_role {
    core::service_id service;
    core::failure_domain_id domain;
    std::uint32_t shard = 0;

    [[nodiscard]] friend auto operator<=>(const scheduler_role&, const scheduler_role&) = default;
};

/// @brief An endpoint as this router sees it.
struct endpoint_place {
    scheduler_role role;     ///< The scheduler that owns its slots.
    std::uint32_t slots = 0; ///< Declared slots; 0 when it drains.
    std::uint32_t part = 0;  ///< This router's part of them when it serves alone.
};

/// @brief Who schedules what, from configuration and membership.
struct scheduling_topology {
    std::map<scheduler_role, core::instance_id> holders;
    std::map<core::service_id, std::uint32_t> shards; ///< In this failure domain.
    std::map<core::endpoint_id, endpoint_place> endpoints;
};

/// @brief A live instance, as far as scheduling needs it.
struct candidate {
    core::instance_id id;
    core::failure_domain_id domain;
};

/// @brief Works out who schedules what.
/// @param candidates The live instances of the fleet.
[[nodiscard]] scheduling_topology make_topology(const configuration::document& document,
                                                const std::vector<candidate>& candidates,
                                                const protocol::sender& self,
                                                const core::failure_domain_id& domain);

/// @brief A ticket that waits for its scheduler's word.
struct open_ticket {
    core::slot_request request;
    scheduler_role role;
    core::instant sent{};
    bool acknowledged = false;
};

/// @brief A slot that this router holds, or has released without an acknowledgement yet.
struct client_slot {
    protocol::held_slot held;
    scheduler_role role; ///< The scheduler that owns the slot.
    core::instance_id owner;
    core::instant granted{};
    float told_cost = 0;          ///< The cost that the scheduler knows of.
    core::duration first_token{}; ///< Zero before the first byte of the answer.
    bool told_late = false;       ///< The scheduler knows that nothing has come for long.
    bool released = false;
    core::instant released_at{};
    protocol::slot_release release;
    core::instant sent{};
};

/// @brief How a scheduler responds to this router.
struct scheduler_link {
    core::instance_id holder;
    core::instant asked{}; ///< The first message since it was heard of last; zero when it owes nothing.
    core::instant renewed{};
};

/// @brief The router's side of scheduling: its open tickets and its slots.
struct slot_client {
    slot_client_options options;
    scheduling_topology topology;
    std::map<scheduler_role, scheduler_link> links;
    std::map<std::uint64_t, open_ticket> open;
    std::map<std::uint64_t, client_slot> slots; ///< By ticket.
    std::map<protocol::slot_id, std::uint64_t> by_slot;
    std::map<core::endpoint_id, std::uint32_t> in_flight; ///< Requests of this router at each endpoint.
    std::uint64_t last_ticket = 0;
    std::uint64_t served_alone = 0; ///< Slots taken without a scheduler.
};

/// @brief Takes over a new topology: tickets and slots move to the schedulers' new holders.
void set_topology(slot_client& state, scheduling_topology topology, core::instant now, effects& out);

/// @brief Opens a ticket.
/// @returns Its number.
std::uint64_t
open_ticket_for(slot_client& state, const core::slot_request& request, core::instant now, effects& out);

/// @brief Gives a ticket up that is not answered yet.
void cancel_ticket(slot_client& state, std::uint64_t ticket, effects& out);

/// @brief Notes how far a running request has come.
void report_progress(slot_client& state, std::uint64_t ticket, const core::run_progress& progress);

/// @brief Gives a slot back.
void release_slot(
    slot_client& state, std::uint64_t ticket, const core::slot_usage& usage, core::instant now, effects& out);

/// @name Messages of schedulers
void on_grant(slot_client& state,
              const protocol::sender& from,
              const protocol::slot_grant& message,
              core::instant now,
              effects& out);

void on_refuse(slot_client& state,
               const protocol::sender& from,
               const protocol::ticket_refuse& message,
               effects& out);

void on_acknowledgement(slot_client& state,
                        const protocol::sender& from,
                        const protocol::scheduler_acknowledgement& message);

void on_notice(slot_client& state,
               const protocol::sender& from,
               const protocol::scheduler_notice& message,
               core::instant now,
               effects& out);

/// @brief Sends unanswered tickets and releases again, renews leases, ends tickets at their deadline, and
/// serves from this router's part of the slots where the scheduler is silent. Call it every 20 ms.
void on_tick(slot_client& state, core::instant now, effects& out);

} // namespace hibiscusfall::scheduling
