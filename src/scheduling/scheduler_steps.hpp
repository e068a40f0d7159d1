#pragma once

#include "hibiscusfall/scheduling/scheduler.hpp"

/// Steps that the event handlers of a scheduler share.
namespace hibiscusfall::scheduling::detail
{

/// Gives free slots to waiting tickets and offers them to schedulers elsewhere.
void grant_free_slots(scheduler& state, core::instant now, effects& out);

/// Sends a grant for a slot in use (again).
void send_grant(const scheduler& state,
                const slot_in_use& slot,
                const core::instance_id& owner,
                effects& out);

/// Takes a slot out of use and settles its cost; the endpoint's place is free again.
void free_slot(scheduler& state, const protocol::slot_id& id, double actual_cost);

/// Drops what an earlier start of a router held, when a message of a newer one arrives.
/// @returns False when the message itself comes from an earlier start.
bool check_incarnation(scheduler& state, const protocol::sender& from);

/// What is to be acknowledged to a router, to be added to.
protocol::scheduler_acknowledgement&
acknowledgement_for(scheduler& state, const core::instance_id& router, core::instant now);

/// Sends what is to be acknowledged to a router.
void acknowledge(scheduler& state, const core::instance_id& router, effects& out);

/// A message of a router renews all its leases.
void extend_lease(scheduler& state, const core::instance_id& router, core::instant now);

/// Refuses a ticket and notes why.
void refuse(scheduler& state,
            const ticket_key& key,
            const core::team_id& team,
            protocol::ticket_refusal reason,
            core::duration retry_after,
            effects& out);

/// The pace of grants is measured over this time.
inline constexpr core::duration grant_window = std::chrono::seconds{2};

/// How long a ticket that is opened now is expected to wait; zero when nothing is known.
[[nodiscard]] core::duration
expected_wait(const scheduler& state, const core::team_id& team, core::instant now);

/// Refuses waiting tickets whose deadline has passed.
void refuse_late_tickets(scheduler& state, core::instant now, effects& out);

/// Ends the rebuilding time when all routers have answered or it has been long enough.
/// @returns Whether it is over.
bool finish_rebuild(scheduler& state, core::instant now, effects& out);

/// Asks the routers again that have not answered yet.
void announce_again(scheduler& state, effects& out);

/// Counts service that summaries will show later.
void expect_service(scheduler& state, const core::team_id& team, double amount, core::instant now);

/// Offers a free slot to a team elsewhere, when one is further behind than the local head.
/// @returns Whether a slot was offered.
bool offer_slot(scheduler& state, core::instant now, effects& out);

/// Ends offers without an answer and charges for borrowed slots that the lender counts by now.
void end_offers(scheduler& state, core::instant now);

/// Sends the next schedulers elsewhere what they are most wrong about.
void send_summaries(scheduler& state, core::instant now, effects& out);

/// Replaces the rate at which a team's service at one scheduler elsewhere is expected to go on.
/// @returns By how much the service counted for the team has to change.
[[nodiscard]] double
set_forecast(scheduler& state, remote_team& known, const core::team_id& team, double rate, core::instant now);

/// Counts the service that is expected elsewhere up to now.
void advance_forecasts(scheduler& state, core::instant now);

/// Sends summaries when they are due and forgets silent schedulers' backlogs.
void exchange_summaries(scheduler& state, core::instant now, effects& out);

} // namespace hibiscusfall::scheduling::detail
