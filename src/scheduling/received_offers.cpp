#include "scheduler_steps.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace hibiscusfall::scheduling
{

namespace
{

void answer_offer(const protocol::sender& to,
                  const protocol::slot_id& slot,
                  const waiting_ticket* ticket,
                  effects& out)
{
    protocol::offer_answer answer{.slot = slot, .router = {}, .incarnation = 0, .ticket = 0, .cost = 0};
    if (ticket != nullptr) {
        answer.router = ticket->key.router;
        answer.incarnation = ticket->key.incarnation;
        answer.ticket = ticket->key.number;
        answer.cost = static_cast<float>(ticket->cost);
    }
    out.messages.push_back({.to = to.id, .body = answer});
}

/// The ticket of a team that comes first and has not been tried at an endpoint.
const waiting_ticket*
first_ticket(const scheduler& state, const core::team_id& team, const core::endpoint_id& endpoint)
{
    const auto account = state.accounts.teams.find(team);
    if (account == state.accounts.teams.end()) {
        return nullptr;
    }
    for (const auto& [place, ticket] : account->second.waiting) {
        const auto& tried = ticket.excluded;
        if (std::find(tried.begin(), tried.end(), endpoint) == tried.end()) {
            return &ticket;
        }
    }
    return nullptr;
}

/// @returns False for an offer that was received before.
bool note_received(exchange_state& exchange, const protocol::slot_id& slot)
{
    constexpr std::size_t remembered = 512;
    auto& received = exchange.received;
    if (std::find(received.rbegin(), received.rend(), slot) != received.rend()) {
        return false;
    }
    received.push_back(slot);
    if (received.size() > remembered) {
        received.pop_front();
    }
    return true;
}

} // namespace

void on_offer(scheduler& state,
              const protocol::sender& from,
              const protocol::slot_offer& message,
              core::instant now,
              effects& out)
{
    if (!note_received(state.exchange, message.slot)) {
        return;
    }
    ++state.counters.offers_received;
    const auto* first = first_ticket(state, message.team, message.endpoint);
    if (first == nullptr) {
        answer_offer(from, message.slot, nullptr, out);
        return;
    }
    const auto ticket = *dequeue(state.accounts, ticket_key{first->key});
    answer_offer(from, message.slot, &ticket, out);
    // The lender counts the service; until its summary says so, it is counted here.
    detail::expect_service(state, ticket.team, ticket.cost, now);
    ++state.counters.grants;
    out.messages.push_back({.to = ticket.key.router,
                            .body = protocol::slot_grant{
                                .ticket = ticket.key.number,
                                .slot = message.slot,
                                .owner = from.id,
                                .endpoint = message.endpoint,
                                .queue_length = static_cast<std::uint32_t>(state.accounts.places.size()),
                                .alternatives = 1}});
    if (telemetry::logs_decisions()) {
        out.decisions.push_back(telemetry::log_event{"slot_granted"}
                                    .with("team", ticket.team.view())
                                    .with("service", state.options.service.view())
                                    .with("endpoint", message.endpoint.view())
                                    .with("router", ticket.key.router.view())
                                    .with("ticket", ticket.key.number)
                                    .with("reason", "offered")
                                    .with("alternatives", 1)
                                    .with("lender", from.id.view())
                                    .with("wait_us", core::elapsed(ticket.opened, now).count())
                                    .with("queue_length", state.accounts.places.size()));
    }
}

} // namespace hibiscusfall::scheduling
