#include "scheduler_steps.hpp"

#include <algorithm>

namespace hibiscusfall::scheduling::detail
{

namespace
{

/// Teams and tickets that are looked at for one free slot before it is left free.
constexpr std::size_t teams_tried = 16;
constexpr std::size_t tickets_tried = 16;

struct grant_choice {
    ticket_key key;
    endpoint_choice endpoint;
};

std::optional<grant_choice>
choose_in_team(const scheduler& state, const team_account& account, bool short_waits, core::instant now)
{
    std::size_t tried = 0;
    for (const auto& [place, ticket] : account.waiting) {
        if (auto endpoint = choose_endpoint(state.endpoints, state.options, ticket, short_waits, now)) {
            return grant_choice{.key = ticket.key, .endpoint = std::move(*endpoint)};
        }
        if (++tried == tickets_tried) {
            break;
        }
    }
    return std::nullopt;
}

std::optional<grant_choice> choose_grant(const scheduler& state, bool short_waits, core::instant now)
{
    std::size_t tried = 0;
    for (const auto& [service, team] : state.accounts.local_order) {
        if (auto choice = choose_in_team(state, state.accounts.teams.at(team), short_waits, now)) {
            return choice;
        }
        if (++tried == teams_tried) {
            break;
        }
    }
    return std::nullopt;
}

std::string_view to_string(choice_reason reason)
{
    switch (reason) {
    case choice_reason::only_one:
        return "only-one";
    case choice_reason::earliest_finish:
        return "earliest-finish";
    case choice_reason::prefix:
        return "prefix";
    }
    return "unknown";
}

void count_grant(grant_pace& pace, bool some_wait, core::instant now)
{
    constexpr core::duration window = grant_window;
    const auto span = core::elapsed(pace.window_start, now);
    if (span >= window) {
        const double seconds = std::chrono::duration<double>(span).count();
        // A window with few grants says little about a full queue.
        constexpr std::uint32_t enough = 10;
        const bool telling = pace.always_waiting && pace.in_window >= enough && span < 2 * window;
        pace.per_second = telling ? pace.in_window / seconds : 0;
        pace.always_waiting = true;
        pace.in_window = 0;
        pace.window_start = now;
    }
    ++pace.in_window;
    pace.always_waiting = pace.always_waiting && some_wait;
}

void log_grant(const scheduler& state,
               const waiting_ticket& ticket,
               const endpoint_choice& choice,
               core::instant now,
               effects& out)
{
    if (!telemetry::logs_decisions()) {
        return;
    }
    out.decisions.push_back(telemetry::log_event{"slot_granted"}
                                .with("team", ticket.team.view())
                                .with("service", state.options.service.view())
                                .with("endpoint", choice.id.view())
                                .with("router", ticket.key.router.view())
                                .with("ticket", ticket.key.number)
                                .with("reason", to_string(choice.reason))
                                .with("alternatives", choice.alternatives)
                                .with("wait_us", core::elapsed(ticket.opened, now).count())
                                .with("queue_length", state.accounts.places.size()));
}

void grant(scheduler& state, const grant_choice& choice, core::instant now, effects& out)
{
    const auto virtual_start =
        state.accounts.teams.at(state.accounts.places.at(choice.key).team).virtual_service;
    state.accounts.virtual_time = std::max(state.accounts.virtual_time, virtual_start);
    const auto ticket = *dequeue(state.accounts, choice.key);
    charge(state.accounts, ticket.team, ticket.cost);
    occupy(state.endpoints, choice.endpoint.id, ticket.is_long, now);
    const auto& slot = add_slot(state.leases,
                                {.id = {.epoch = state.options.epoch, .number = ++state.last_slot},
                                 .holder = ticket.key,
                                 .endpoint = choice.endpoint.id,
                                 .team = ticket.team,
                                 .hint = ticket.hint,
                                 .charged = ticket.cost,
                                 .is_long = ticket.is_long,
                                 .granted = now,
                                 .reported = now},
                                now + state.options.lease);
    ++state.counters.grants;
    count_grant(state.pace, !state.accounts.places.empty(), now);
    send_grant(state, slot, {}, out);
    acknowledge(state, slot.holder.router, out);
    log_grant(state, ticket, choice.endpoint, now, out);
}

} // namespace

void send_grant(const scheduler& state, const slot_in_use& slot, const core::instance_id& owner, effects& out)
{
    out.messages.push_back({.to = slot.holder.router,
                            .body = protocol::slot_grant{
                                .ticket = slot.holder.number,
                                .slot = slot.id,
                                .owner = owner,
                                .endpoint = slot.endpoint,
                                .queue_length = static_cast<std::uint32_t>(state.accounts.places.size()),
                                .alternatives = static_cast<std::uint32_t>(state.endpoints.entries.size())}});
}

void grant_free_slots(scheduler& state, core::instant now, effects& out)
{
    if (state.rebuild.running) {
        return;
    }
    while (count_free(state.endpoints, now) > 0) {
        if (offer_slot(state, now, out)) {
            continue;
        }
        auto choice = choose_grant(state, state.accounts.waiting_short > 0, now);
        if (!choice) {
            // No short ticket can use what is free; long work may have all of it.
            choice = choose_grant(state, false, now);
        }
        if (!choice) {
            return;
        }
        grant(state, *choice, now, out);
    }
}

} // namespace hibiscusfall::scheduling::detail
