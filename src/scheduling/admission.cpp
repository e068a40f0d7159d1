#include "scheduler_steps.hpp"

#include <algorithm>

/// Tickets on their way in: taken, refused at once, refused when their time is over, or given up.
namespace hibiscusfall::scheduling
{

namespace
{

ticket_key key_of(const protocol::sender& from, std::uint64_t ticket)
{
    return {.router = from.id, .incarnation = from.incarnation, .number = ticket};
}

waiting_ticket make_ticket(const scheduler& state,
                           const ticket_key& key,
                           const protocol::ticket_open& message,
                           core::instant now)
{
    const auto expected = expect(state.estimates, message.team, message.cost);
    const auto usual = expect_any(state.estimates);
    const bool learned_long = usual.samples > 0 && expected.samples > 0 &&
                              static_cast<double>(expected.run_time.count()) >
                                  state.options.long_factor * static_cast<double>(usual.run_time.count());
    return {.key = key,
            .team = message.team,
            .hint = message.cost,
            .cost = expected.cost,
            .run_time = expected.run_time,
            .is_long = message.is_long || learned_long,
            .prefix = message.prefix,
            .excluded = message.excluded,
            .opened = now - message.waited,
            .deadline = now + message.remaining};
}

/// Whether a ticket is refused at once: unknown service, full queue, or a deadline that cannot be met.
bool refuse_early(scheduler& state,
                  const ticket_key& key,
                  const protocol::ticket_open& message,
                  core::instant now,
                  effects& out)
{
    const auto wait = detail::expected_wait(state, message.team, now);
    if (!state.service_has_endpoints) {
        constexpr core::duration retry_after = std::chrono::seconds{1};
        detail::refuse(state, key, message.team, protocol::ticket_refusal::no_endpoint, retry_after, out);
        return true;
    }
    const auto account = state.accounts.teams.find(message.team);
    if (account != state.accounts.teams.end() &&
        account->second.waiting.size() >= state.options.queue_per_team) {
        detail::refuse(state, key, message.team, protocol::ticket_refusal::queue_full, wait, out);
        return true;
    }
    if (wait > message.remaining) {
        detail::refuse(
            state, key, message.team, protocol::ticket_refusal::deadline, wait - message.remaining, out);
        return true;
    }
    return false;
}

} // namespace

namespace detail
{

void refuse(scheduler& state,
            const ticket_key& key,
            const core::team_id& team,
            protocol::ticket_refusal reason,
            core::duration retry_after,
            effects& out)
{
    ++state.counters.refusals;
    out.messages.push_back({.to = key.router,
                            .body = protocol::ticket_refuse{
                                .ticket = key.number, .reason = reason, .retry_after = retry_after}});
    const auto found = state.accounts.teams.find(team);
    const std::size_t waiting = found == state.accounts.teams.end() ? 0 : found->second.waiting.size();
    const char* name = reason == protocol::ticket_refusal::queue_full ? "queue-full"
                       : reason == protocol::ticket_refusal::deadline ? "deadline"
                                                                      : "no-endpoint";
    out.decisions.push_back(telemetry::log_event{"ticket_refused"}
                                .with("team", team.view())
                                .with("service", state.options.service.view())
                                .with("router", key.router.view())
                                .with("ticket", key.number)
                                .with("reason", name)
                                .with("retry_after_us", retry_after.count())
                                .with("queue_length", waiting));
}

core::duration expected_wait(const scheduler& state, const core::team_id& team, core::instant now)
{
    const auto account = state.accounts.teams.find(team);
    const bool is_old = core::elapsed(state.pace.window_start, now) > 2 * grant_window;
    if (is_old || state.pace.per_second <= 0 || account == state.accounts.teams.end() ||
        account->second.waiting.empty()) {
        return core::duration::zero();
    }
    double shares = 0;
    for (const auto& [service, other] : state.accounts.local_order) {
        shares += state.accounts.teams.at(other).share;
    }
    const double own_pace = state.pace.per_second * account->second.share / shares;
    const double seconds = static_cast<double>(account->second.waiting.size()) / own_pace;
    constexpr double longest = 3600;
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(std::min(seconds, longest)));
}

void refuse_late_tickets(scheduler& state, core::instant now, effects& out)
{
    while (!state.accounts.deadlines.empty() && state.accounts.deadlines.begin()->first <= now) {
        const auto key = state.accounts.deadlines.begin()->second;
        const auto ticket = dequeue(state.accounts, key);
        refuse(state,
               key,
               ticket->team,
               protocol::ticket_refusal::deadline,
               expected_wait(state, ticket->team, now),
               out);
    }
}

} // namespace detail

void on_open(scheduler& state,
             const protocol::sender& from,
             const protocol::ticket_open& message,
             core::instant now,
             effects& out)
{
    if (!detail::check_incarnation(state, from)) {
        return;
    }
    detail::extend_lease(state, from.id, now);
    const auto key = key_of(from, message.ticket);
    if (const auto* slot = find_by_ticket(state.leases, key)) {
        detail::send_grant(state, *slot, {}, out);
        return;
    }
    if (state.leases.ended_tickets.contains(key)) {
        return;
    }
    if (!state.accounts.places.contains(key)) {
        if (refuse_early(state, key, message, now, out)) {
            return;
        }
        enqueue(state.accounts, state.options, make_ticket(state, key, message, now));
        detail::grant_free_slots(state, now, out);
    }
    if (state.accounts.places.contains(key)) {
        detail::acknowledgement_for(state, from.id, now).tickets.push_back(message.ticket);
    }
}

void on_cancel(scheduler& state,
               const protocol::sender& from,
               const protocol::ticket_cancel& message,
               core::instant now,
               effects& out)
{
    const auto key = key_of(from, message.ticket);
    dequeue(state.accounts, key);
    end_ticket(state.leases, key);
    if (const auto* slot = find_by_ticket(state.leases, key)) {
        // The grant and the cancellation have crossed; the router will not use the slot.
        detail::free_slot(state, protocol::slot_id{slot->id}, 0);
        detail::grant_free_slots(state, now, out);
    }
}

} // namespace hibiscusfall::scheduling
