#pragma once

#include "hibiscusfall/scheduling/slot_client.hpp"

/// Steps that the event handlers of a router's side share.
namespace hibiscusfall::scheduling::detail
{

/// Notes that an answer is owed by a scheduler since now.
void note_asked(slot_client& state, const scheduler_role& role, core::instant now);

/// Notes a sign of life of an instance.
void note_heard(slot_client& state, const core::instance_id& from);

/// Holds a slot for an open ticket and answers the ticket.
void take_slot(slot_client& state,
               std::uint64_t ticket,
               client_slot slot,
               const core::slot_granted& answer,
               effects& out);

/// Sends everything that is held from a scheduler.
void send_list(slot_client& state,
               const scheduler_role& role,
               const core::instance_id& to,
               core::instant now,
               effects& out);

/// Renews the leases of all schedulers that are due.
void renew_leases(slot_client& state, core::instant now, effects& out);

/// Answers open tickets whose scheduler is silent from this router's part of the slots.
void serve_alone(slot_client& state, core::instant now, effects& out);

/// Answers a ticket at once without any scheduler.
void serve_unscheduled(slot_client& state, std::uint64_t ticket, core::instant now, effects& out);

} // namespace hibiscusfall::scheduling::detail
