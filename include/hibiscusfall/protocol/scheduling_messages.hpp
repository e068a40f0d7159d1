#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace hibiscusfall::protocol
{

/// @brief One right to run one request at an endpoint.
struct slot_id {
    std::uint64_t epoch = 0; ///< Names one scheduler process and start, over the whole fleet.
    std::uint64_t number = 0;

    [[nodiscard]] friend auto operator<=>(const slot_id&, const slot_id&) = default;
};

/// @brief Router to scheduler: a request waits for a slot. Sent again until it is acknowledged.
struct ticket_open {
    std::uint64_t ticket = 0; ///< Chosen by the router; unique within its incarnation.
    core::service_id service;
    core::team_id team;
    double cost = 0;                         ///< Expected service, in the unit of worth.
    bool is_long = false;                    ///< Expected to hold the slot much longer than most.
    core::duration remaining{};              ///< Time until the deadline.
    core::duration waited{};                 ///< Time since the request arrived.
    std::uint64_t prefix = 0;                ///< Digest of the prompt's prefix; 0 for none.
    std::vector<core::endpoint_id> excluded; ///< Endpoints that were tried already.
    std::uint32_t shard = 0;
};

/// @brief Router to scheduler: the request waits no more.
struct ticket_cancel {
    std::uint64_t ticket = 0;
    core::service_id service;
    std::uint32_t shard = 0;
};

/// @brief Why a ticket was refused.
enum class ticket_refusal : std::uint8_t { queue_full, deadline, no_endpoint };

/// @brief Scheduler to router: the ticket gets no slot.
struct ticket_refuse {
    std::uint64_t ticket = 0;
    ticket_refusal reason = ticket_refusal::queue_full;
    core::duration retry_after{};
};

/// @brief Scheduler to router: the ticket's request may run.
struct slot_grant {
    std::uint64_t ticket = 0;
    slot_id slot;
    core::instance_id owner; ///< The scheduler's instance to release to; empty for the sender.
    core::endpoint_id endpoint;
    std::uint32_t queue_length = 0; ///< Tickets still waiting at the scheduler.
    std::uint32_t alternatives = 0; ///< Endpoints that were weighed.
};

/// @brief Router to scheduler: the slot is free again. Sent again until it is acknowledged.
struct slot_release {
    slot_id slot;
    bool answered = false;           ///< Whether the caller was answered; otherwise it costs nothing.
    float cost = 0;                  ///< Actual service, in the unit of worth.
    bool endpoint_failed = false;    ///< The endpoint could not be reached or broke off.
    core::duration first_token{};    ///< Time to the first byte of the answer; 0 when there was none.
    core::duration between_tokens{}; ///< Mean time between tokens; 0 when there was at most one.
};

/// @brief Scheduler to router: these releases and these open tickets were taken.
struct scheduler_acknowledgement {
    std::vector<slot_id> slots;
    std::vector<std::uint64_t> tickets;
};

/// @brief A slot in use, as its router reports it.
struct held_slot {
    slot_id slot;
    std::uint64_t ticket = 0;
    core::endpoint_id endpoint;
    core::team_id team;
    float cost_so_far = 0;
};

/// @brief How far the request in a slot has come.
struct slot_progress {
    slot_id slot;
    float cost_so_far = 0;
    core::duration first_token{}; ///< Time to the first byte of the answer; 0 before it.
};

/// @brief Router to scheduler: renews the leases of all slots held from it.
/// @remarks Count and digest stand for the slots; the list is sent when the scheduler asks for it.
struct lease_renewal {
    core::service_id service;
    std::uint32_t shard = 0;
    std::uint32_t count = 0;
    std::uint64_t digest = 0;            ///< Combined slot digests, see scheduling::slot_digest.
    std::vector<slot_progress> progress; ///< Slots whose cost has grown notably.
    std::vector<held_slot> slots;        ///< All slots, in several messages when there are many.
    bool complete = false;               ///< Whether this is the last message of such a list.
    std::uint32_t waiting = 0;           ///< Tickets that the router believes to wait at the scheduler.
};

/// @brief Scheduler to router: it answers a renewal, or asks for the state that it does not have.
struct scheduler_notice {
    core::service_id service;
    core::failure_domain_id domain;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    bool wants_slots = false;   ///< Send a complete renewal.
    bool wants_tickets = false; ///< Send all open tickets again.
};

/// @brief What one scheduler knows of one team.
struct team_summary {
    core::team_id team;
    std::uint32_t backlog = 0; ///< Tickets waiting at the scheduler.
    double service = 0;        ///< Settled service in this epoch; never falls.
    float rate = 0;            ///< Service per second, settled and running together.
    float running = 0;         ///< Charged to requests that still run.
    float lead = 0;            ///< Virtual service ahead of the least served backlogged team.
};

/// @brief Scheduler to the schedulers of the same service elsewhere: spare capacity and some teams.
struct exchange_summary {
    core::service_id service;
    core::failure_domain_id domain;
    std::uint32_t shard = 0;
    std::uint32_t to_shard = 0;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0; ///< Slots that the scheduler owns.
    std::uint32_t spare = 0; ///< Of these, how many are free.
    std::vector<team_summary> teams;
};

/// @brief Lender to borrower: a free slot for the most urgent ticket of one team.
struct slot_offer {
    core::service_id service;
    std::uint32_t to_shard = 0;
    slot_id slot;
    core::team_id team;
    core::endpoint_id endpoint;
};

/// @brief Borrower to lender: who got the offered slot.
struct offer_answer {
    slot_id slot;
    core::instance_id router; ///< Empty when the offer is declined.
    std::uint64_t incarnation = 0;
    std::uint64_t ticket = 0;
    float cost = 0; ///< Expected service of the ticket.
};

} // namespace hibiscusfall::protocol
