#include "slot_client_steps.hpp"

#include <xxhash.h>

#include <algorithm>

namespace hibiscusfall::scheduling::detail
{

namespace
{

/// Slots that were taken without a scheduler carry an epoch of this router's start.
std::uint64_t own_epoch(const protocol::sender& self)
{
    return XXH3_64bits_withSeed(self.id.view().data(), self.id.view().size(), self.incarnation);
}

bool is_silent(const slot_client& state, const scheduler_role& role, core::instant now)
{
    const auto link = state.links.find(role);
    if (link == state.links.end() || !link->second.holder) {
        return true;
    }
    return link->second.asked != core::instant{} &&
           core::elapsed(link->second.asked, now) >= state.options.silence_limit;
}

std::uint32_t in_flight_at(const slot_client& state, const core::endpoint_id& endpoint)
{
    const auto found = state.in_flight.find(endpoint);
    return found == state.in_flight.end() ? 0 : found->second;
}

using load_function = std::optional<double> (*)(const endpoint_place& place, std::uint32_t in_flight);

/// Load against this router's part; nothing when the part is used up.
std::optional<double> load_of_part(const endpoint_place& place, std::uint32_t in_flight)
{
    if (in_flight >= place.part) {
        return std::nullopt;
    }
    return static_cast<double>(in_flight) / place.part;
}

/// Requests in flight, with no limit.
std::optional<double> load_unlimited(const endpoint_place& place, std::uint32_t in_flight)
{
    if (place.slots == 0) {
        return std::nullopt;
    }
    return in_flight;
}

const core::endpoint_id*
least_loaded(const slot_client& state, const core::slot_request& request, load_function load)
{
    const core::endpoint_id* best = nullptr;
    double best_load = 0;
    for (const auto& [id, place] : state.topology.endpoints) {
        const auto& tried = request.excluded;
        if (place.role.service != request.service ||
            std::find(tried.begin(), tried.end(), id) != tried.end()) {
            continue;
        }
        const auto value = load(place, in_flight_at(state, id));
        if (value && (best == nullptr || *value < best_load)) {
            best = &id;
            best_load = *value;
        }
    }
    return best;
}

void take_alone(slot_client& state,
                std::uint64_t ticket,
                const core::endpoint_id& endpoint,
                core::instant now,
                effects& out)
{
    const auto request = state.open.at(ticket).request;
    const auto role = state.topology.endpoints.at(endpoint).role;
    const auto holder = state.topology.holders.find(role);
    ++state.served_alone;
    client_slot slot{.held = {.slot = {.epoch = own_epoch(state.options.self), .number = ticket},
                              .ticket = ticket,
                              .endpoint = endpoint,
                              .team = request.team,
                              .cost_so_far = 0},
                     .role = role,
                     .owner = holder == state.topology.holders.end() ? core::instance_id{} : holder->second,
                     .granted = now,
                     .released_at = {},
                     .release = {},
                     .sent = now};
    if (telemetry::logs_decisions()) {
        out.decisions.push_back(telemetry::log_event{"slot_taken_alone"}
                                    .with("team", request.team.view())
                                    .with("service", request.service.view())
                                    .with("endpoint", endpoint.view())
                                    .with("ticket", ticket)
                                    .with("wait_us", core::elapsed(request.arrived, now).count())
                                    .with("queue_length", state.open.size() - 1));
    }
    take_slot(state,
              ticket,
              std::move(slot),
              {.ticket = ticket,
               .endpoint = endpoint,
               .wait = core::elapsed(request.arrived, now),
               .queue_length = static_cast<std::uint32_t>(state.open.size() - 1),
               .alternatives = 0},
              out);
}

void deny(slot_client& state, std::uint64_t ticket, core::failure reason, const char* detail, effects& out)
{
    state.open.erase(ticket);
    out.answers.push_back({.ticket = ticket,
                           .answer = core::slot_denied{
                               .reason = reason, .detail = detail, .retry_after = std::chrono::seconds{1}}});
}

} // namespace

void serve_alone(slot_client& state, core::instant now, effects& out)
{
    std::vector<std::uint64_t> stranded;
    for (const auto& [number, ticket] : state.open) {
        if (is_silent(state, ticket.role, now)) {
            stranded.push_back(number);
        }
    }
    for (const auto number : stranded) {
        const auto* endpoint = least_loaded(state, state.open.at(number).request, load_of_part);
        if (endpoint != nullptr) {
            take_alone(state, number, *endpoint, now, out);
        }
    }
}

void serve_unscheduled(slot_client& state, std::uint64_t ticket, core::instant now, effects& out)
{
    if (state.slots.size() >= state.options.most_in_flight) {
        deny(state, ticket, core::failure::queue_full, "the router's bound of requests is reached", out);
        return;
    }
    const auto* endpoint = least_loaded(state, state.open.at(ticket).request, load_unlimited);
    if (endpoint == nullptr) {
        deny(state, ticket, core::failure::no_endpoint, "no endpoint of the service is in service", out);
        return;
    }
    take_alone(state, ticket, *endpoint, now, out);
}

} // namespace hibiscusfall::scheduling::detail
