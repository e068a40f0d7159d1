#include "hibiscusfall/dispatch/fleet_state.hpp"

#include "hibiscusfall/dispatch/prefix_transfer.hpp"
#include "hibiscusfall/dispatch/stream_origins.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hibiscusfall::dispatch
{

namespace
{

std::uint32_t digest(std::string_view text, std::uint64_t seed)
{
    const auto value = static_cast<std::uint32_t>(XXH64(text.data(), text.size(), seed));
    return value == 0 ? 1 : value;
}

/// Fraction of an endpoint's connection limit that is used, as some connections are still closing.
constexpr double connection_fraction = 0.85;

void set_properties(endpoint_state& state, const catalog::route_table& table, std::uint32_t instances)
{
    const auto service = table.services.find(state.entry.service);
    if (service == table.services.end()) {
        return;
    }
    const auto& engine = service->second.engine;
    state.is_engine = engine.has_value();
    state.batch = engine && engine->batch_size > 0 ? engine->batch_size : state.entry.slots;
    state.memory_tokens = engine ? engine->kv_capacity_tokens : 0;
    state.tokens_per_event = engine ? engine->tokens_per_event : 0;
    state.transfer_ms_per_token = engine ? transfer_ms_per_token(*engine) : 0;
    state.cold = {.period = service->second.cold_period,
                  .requests_per_second = service->second.cold_requests_per_second};
    const auto most = service->second.max_connections;
    state.max_connections =
        most == 0
            ? 0
            : std::max(4U, static_cast<std::uint32_t>(connection_fraction * most / std::max(1U, instances)));
}

void index_endpoints(fleet_state& fleet)
{
    fleet.endpoint_index.clear();
    for (std::size_t i = 0; i < fleet.endpoints.size(); ++i) {
        fleet.endpoint_index[fleet.endpoints[i].tag] = i;
    }
}

/// Stream duration assumed before the first stream has ended; specified are 0.3 to 5 s.
constexpr core::duration default_stream_time = std::chrono::milliseconds{2500};
/// Approximate number of streams over which the mean is taken: a few seconds of a small instance's load.
constexpr int stream_samples = 50;

void remove_running_requests(fleet_state& fleet, peer_state& peer)
{
    for (auto& [tag, totals] : peer.endpoints) {
        if (auto* state = find_endpoint(fleet, tag)) {
            state->model.peer_requests -= std::min(state->model.peer_requests, totals.running);
        }
        totals.running = 0;
    }
}

} // namespace

endpoint_tag tag_of(const catalog::endpoint& entry)
{
    return digest(entry.id.view(), static_cast<std::uint64_t>(entry.start_time_ms));
}

team_tag tag_of(const core::team_id& team)
{
    return digest(team.view(), 0);
}

std::uint32_t rank_of(const core::instance_id& instance, std::uint32_t count)
{
    return count == 0 ? 0 : digest(instance.view(), 0) % count;
}

endpoint_state* find_endpoint(fleet_state& fleet, endpoint_tag tag) noexcept
{
    const auto found = fleet.endpoint_index.find(tag);
    return found == fleet.endpoint_index.end() ? nullptr : &fleet.endpoints[found->second];
}

void update_endpoints(fleet_state& fleet,
                      const catalog::endpoint_list& list,
                      const catalog::route_table& table,
                      std::uint32_t instances)
{
    for (auto& state : fleet.endpoints) {
        state.listed = false;
    }
    for (const auto& [key, entry] : list.entries) {
        const auto tag = tag_of(entry);
        auto* state = find_endpoint(fleet, tag);
        if (state == nullptr) {
            state = &fleet.endpoints.emplace_back();
            state->tag = tag;
            fleet.endpoint_index[tag] = fleet.endpoints.size() - 1;
            for (const auto& [name, peer] : fleet.peers) {
                const auto reported = peer.endpoints.find(tag);
                state->model.peer_requests += reported == peer.endpoints.end() ? 0 : reported->second.running;
            }
        }
        state->entry = entry;
        state->software_version = software_version(entry);
        state->listed = !entry.draining;
        set_properties(*state, table, instances);
    }
    std::erase_if(fleet.endpoints, [&](const endpoint_state& state) {
        const bool done = !state.listed && state.model.own_requests == 0;
        if (done) {
            remove_endpoint(fleet.cached_prefixes, state.tag);
            fleet.cold.endpoints.erase(state.tag);
        }
        return done;
    });
    index_endpoints(fleet);
}

void apply_cold_statements(fleet_state& fleet, core::instant now)
{
    for (const auto& state : fleet.endpoints) {
        if (state.cold.limited()) {
            record_entry(fleet.cold, state.tag, state.entry.cold_until, now);
        }
    }
}

void presume_domain_cold(fleet_state& fleet, const core::failure_domain_id& domain, core::instant now)
{
    for (const auto& state : fleet.endpoints) {
        if (state.entry.domain == domain) {
            presume_cold(fleet.cold, state.tag, state.cold, now);
        }
    }
}

void record_unreachable(fleet_state& fleet, endpoint_state& endpoint, core::instant now)
{
    record_outcome(endpoint.health, request_outcome::unreachable, now);
    record_unreachable(fleet.cold, fleet.own_instance.view(), endpoint.tag, endpoint.cold, now);
}

void record_response(fleet_state& fleet, endpoint_state& endpoint, core::instant now)
{
    endpoint.last_received = now;
    record_response(fleet.cold, endpoint.tag, endpoint.cold, now);
}

bool try_take_send(fleet_state& fleet, const endpoint_state& endpoint, core::instant now)
{
    if (!endpoint.cold.limited()) {
        return true;
    }
    if (!may_send(fleet, endpoint, now)) {
        return false;
    }
    record_send(fleet.cold, endpoint.tag, now);
    return true;
}

running_request record_dispatch(fleet_state& fleet,
                                endpoint_tag endpoint,
                                const prompt& prompt,
                                core::instant now,
                                std::uint32_t copied_prefix_tokens)
{
    const running_request request{.ticket = ++fleet.last_ticket, .endpoint = endpoint, .sent_at = now};
    auto* state = find_endpoint(fleet, endpoint);
    if (state == nullptr) {
        return request;
    }
    if (!state->is_engine) {
        ++state->model.own_requests;
        return request;
    }
    const auto held = match_prefix(resolve_segments(fleet.cached_prefixes, prompt.segments),
                                   endpoint,
                                   state->model.sent_tokens,
                                   state->memory_tokens);
    const auto available_tokens = std::max(held.cached_tokens, copied_prefix_tokens);
    const auto uncached_tokens = prompt.prompt_tokens - std::min(prompt.prompt_tokens, available_tokens);
    record_dispatch(state->model, request.ticket, uncached_tokens, now);
    const auto copied_tokens = available_tokens - held.cached_tokens;
    const auto ready_at = expected_prefill_end(fleet, *state, now) +
                          (copied_tokens > 0 ? transfer_time(*state, copied_tokens) : core::duration::zero());
    state->own_sent_total += uncached_tokens;
    for (const auto& part : prompt.segments) {
        record_segment(fleet.cached_prefixes,
                       part.id,
                       endpoint,
                       state->model.sent_tokens,
                       now,
                       ready_at,
                       state->memory_tokens);
    }
    return request;
}

first_token_timing record_first_event(fleet_state& fleet, running_request& request, core::instant now)
{
    request.first_event_seen = true;
    request.first_event_at = now;
    auto* state = find_endpoint(fleet, request.endpoint);
    return state == nullptr ? first_token_timing{} : record_first_token(state->model, request.ticket, now);
}

void record_event(fleet_state& fleet, running_request& request, core::instant now)
{
    auto* state = find_endpoint(fleet, request.endpoint);
    if (state == nullptr) {
        return;
    }
    const auto before = std::exchange(request.last_event,
                                      {.at = now,
                                       .queued_tokens = queued_prefill_tokens(state->model, now),
                                       .sent_tokens = state->model.sent_tokens});
    if (before.at != core::instant{}) {
        const double most_read =
            before.queued_tokens + static_cast<double>(state->model.sent_tokens - before.sent_tokens);
        record_event_gap(state->pace, core::elapsed(before.at, now), most_read, state->tokens_per_event, now);
    }
}

void record_end(fleet_state& fleet,
                const running_request& request,
                request_outcome outcome,
                core::instant now)
{
    auto* state = find_endpoint(fleet, request.endpoint);
    if (state == nullptr) {
        return;
    }
    state->model.own_requests -= std::min(state->model.own_requests, 1U);
    if (!request.first_event_seen) {
        remove_pending_request(state->model, request.ticket);
    } else if (outcome == request_outcome::succeeded) {
        auto& mean =
            fleet.mean_stream_times.try_emplace(state->entry.service, default_stream_time).first->second;
        mean += (core::elapsed(request.first_event_at, now) - mean) / stream_samples;
    }
    if (outcome == request_outcome::unreachable) {
        record_unreachable(fleet, *state, now);
    } else {
        record_outcome(state->health, outcome, now);
    }
}

core::duration mean_stream_time(const fleet_state& fleet, const core::service_id& service)
{
    const auto known = fleet.mean_stream_times.find(service);
    return known == fleet.mean_stream_times.end() ? default_stream_time : known->second;
}

core::duration expected_slot_wait(const endpoint_state& state, core::duration stream_time) noexcept
{
    const auto running = state.model.own_requests + state.model.peer_requests;
    if (state.batch == 0 || running < state.batch) {
        return core::duration::zero();
    }
    return stream_time * static_cast<std::int64_t>(running - state.batch + 1) / state.batch;
}

core::instant expected_prefill_end(const fleet_state& fleet, const endpoint_state& state, core::instant now)
{
    const auto running = state.model.own_requests + state.model.peer_requests;
    const auto waiting = state.batch > 0 && running > state.batch ? running - state.batch : 0U;
    const auto slot_wait = mean_stream_time(fleet, state.entry.service) * static_cast<std::int64_t>(waiting) /
                           std::max(1U, state.batch);
    const auto queue = expected_time_to_first_token(state.model, 0, now, fleet.observation_delay);
    return now + slot_wait + slowed_duration(state.pace, queue, now);
}

std::string_view to_string(exclusion reason) noexcept
{
    switch (reason) {
    case exclusion::none:
        return "none";
    case exclusion::wrong_version:
        return "wrong-version";
    case exclusion::deprioritized_version:
        return "deprioritized-version";
    case exclusion::not_listed:
        return "not-listed";
    case exclusion::evacuated:
        return "evacuated";
    case exclusion::departing:
        return "departing";
    case exclusion::backing_off:
        return "backing-off";
    case exclusion::cold:
        return "cold";
    case exclusion::outside_homes:
        return "outside-homes";
    case exclusion::tried_before:
        return "tried-before";
    case exclusion::connection_limit:
        return "connection-limit";
    case exclusion::suspended:
        return "suspended";
    case exclusion::unreachable:
        return "unreachable";
    case exclusion::not_sampled:
        return "not-sampled";
    }
    return "unknown";
}

bool is_reachable(const fleet_state& fleet, const core::failure_domain_id& domain, core::instant now)
{
    if (domain == fleet.own_domain) {
        return true;
    }
    const auto found = fleet.domain_last_received.find(domain);
    return found == fleet.domain_last_received.end() || now - found->second <= domain_timeout;
}

void run_maintenance(fleet_state& fleet, core::instant now)
{
    for (auto& [name, peer] : fleet.peers) {
        if (now - peer.last_received > peer_timeout) {
            remove_running_requests(fleet, peer);
        }
    }
    expire_segments(fleet.cached_prefixes, now);
    expire_departures(fleet.announced_departures, now);
    expire(fleet.crashes, now);
    expire(fleet.cold, now);
    for (auto& state : fleet.endpoints) {
        decay_learned_speed(state.model);
    }
}

} // namespace hibiscusfall::dispatch
