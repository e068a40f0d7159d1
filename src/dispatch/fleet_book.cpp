#include "hibiscusfall/dispatch/fleet_book.hpp"

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

/// Part of the connections that an endpoint accepts which is used, as some are in closing.
constexpr double connection_part = 0.85;

void set_properties(endpoint_state& state, const catalog::route_table& table, std::uint32_t instances)
{
    const auto service = table.services.find(state.entry.service);
    if (service == table.services.end()) {
        return;
    }
    const auto& engine = service->second.engine;
    state.engine = engine.has_value();
    state.batch = engine && engine->batch_size > 0 ? engine->batch_size : state.entry.slots;
    state.memory_tokens = engine ? engine->kv_capacity_tokens : 0;
    state.tokens_per_event = engine ? engine->tokens_per_event : 0;
    const auto most = service->second.max_connections;
    state.max_connections =
        most == 0
            ? 0
            : std::max(4U, static_cast<std::uint32_t>(connection_part * most / std::max(1U, instances)));
}

void index_endpoints(fleet_book& book)
{
    book.positions.clear();
    for (std::size_t i = 0; i < book.endpoints.size(); ++i) {
        book.positions[book.endpoints[i].tag] = i;
    }
}

/// Time that a stream is assumed to take before any has ended: between 0.3 and 5 s at the users' sheets.
constexpr core::duration assumed_stream_time = std::chrono::milliseconds{2500};
/// Streams over which the mean is taken, about: some seconds of a small instance's load.
constexpr int stream_samples = 50;

void forget_running(fleet_book& book, peer_state& peer)
{
    for (auto& [tag, totals] : peer.endpoints) {
        if (auto* state = find(book, tag)) {
            state->model.others_running -= std::min(state->model.others_running, totals.running);
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

endpoint_state* find(fleet_book& book, endpoint_tag tag) noexcept
{
    const auto found = book.positions.find(tag);
    return found == book.positions.end() ? nullptr : &book.endpoints[found->second];
}

void update_endpoints(fleet_book& book,
                      const catalog::endpoint_list& list,
                      const catalog::route_table& table,
                      std::uint32_t instances)
{
    for (auto& state : book.endpoints) {
        state.listed = false;
    }
    for (const auto& [key, entry] : list.entries) {
        const auto tag = tag_of(entry);
        auto* state = find(book, tag);
        if (state == nullptr) {
            state = &book.endpoints.emplace_back();
            state->tag = tag;
            book.positions[tag] = book.endpoints.size() - 1;
            for (const auto& [name, peer] : book.peers) {
                const auto told = peer.endpoints.find(tag);
                state->model.others_running += told == peer.endpoints.end() ? 0 : told->second.running;
            }
        }
        state->entry = entry;
        state->listed = !entry.draining;
        set_properties(*state, table, instances);
    }
    std::erase_if(book.endpoints, [&](const endpoint_state& state) {
        const bool done = !state.listed && state.model.own_running == 0;
        if (done) {
            forget_endpoint(book.parts, state.tag);
        }
        return done;
    });
    index_endpoints(book);
}

running_request note_sent(fleet_book& book, endpoint_tag endpoint, const prompt& prompt, core::instant now)
{
    const running_request request{.ticket = ++book.last_ticket, .endpoint = endpoint};
    auto* state = find(book, endpoint);
    if (state == nullptr) {
        return request;
    }
    if (!state->engine) {
        ++state->model.own_running;
        return request;
    }
    const auto held =
        look_up(resolve(book.parts, prompt.parts), endpoint, state->model.sent_total, state->memory_tokens);
    const auto unread = prompt.tokens_in - std::min(prompt.tokens_in, held.kept);
    note_sent(state->model, request.ticket, unread, now);
    state->own_sent_total += unread;
    for (const auto& part : prompt.parts) {
        note_part(book.parts, part.id, endpoint, state->model.sent_total, now);
    }
    return request;
}

start_error note_started(fleet_book& book, running_request& request, core::instant now)
{
    request.started = true;
    request.started_at = now;
    auto* state = find(book, request.endpoint);
    return state == nullptr ? start_error{} : note_first_token(state->model, request.ticket, now);
}

void note_event(fleet_book& book, running_request& request, core::instant now)
{
    auto* state = find(book, request.endpoint);
    if (state == nullptr) {
        return;
    }
    const auto before = std::exchange(
        request.last_event,
        {.at = now, .unread = unread_tokens(state->model, now), .sent_total = state->model.sent_total});
    if (before.at != core::instant{}) {
        const double most_read =
            before.unread + static_cast<double>(state->model.sent_total - before.sent_total);
        note_event_gap(state->pace, core::elapsed(before.at, now), most_read, state->tokens_per_event, now);
    }
}

void note_ended(fleet_book& book, const running_request& request, endpoint_sign sign, core::instant now)
{
    auto* state = find(book, request.endpoint);
    if (state == nullptr) {
        return;
    }
    state->model.own_running -= std::min(state->model.own_running, 1U);
    if (!request.started) {
        note_not_started(state->model, request.ticket);
    } else if (sign == endpoint_sign::good) {
        auto& mean = book.stream_time.try_emplace(state->entry.service, assumed_stream_time).first->second;
        mean += (core::elapsed(request.started_at, now) - mean) / stream_samples;
    }
    note(state->health, sign, now);
}

core::duration mean_stream_time(const fleet_book& book, const core::service_id& service)
{
    const auto known = book.stream_time.find(service);
    return known == book.stream_time.end() ? assumed_stream_time : known->second;
}

core::duration expected_place(const endpoint_state& state, core::duration stream_time) noexcept
{
    const auto running = state.model.own_running + state.model.others_running;
    if (state.batch == 0 || running < state.batch) {
        return core::duration::zero();
    }
    return stream_time * static_cast<std::int64_t>(running - state.batch + 1) / state.batch;
}

bool reachable(const fleet_book& book, const core::failure_domain_id& domain, core::instant now)
{
    if (domain == book.own_domain) {
        return true;
    }
    const auto found = book.domain_heard.find(domain);
    return found == book.domain_heard.end() || now - found->second <= domain_silence;
}

void tidy(fleet_book& book, core::instant now)
{
    for (auto& [name, peer] : book.peers) {
        if (now - peer.heard > peer_silence) {
            forget_running(book, peer);
        }
    }
    forget_old_parts(book.parts, now);
    forget_old_departures(book.leaving, now);
    for (auto& state : book.endpoints) {
        relax_speed(state.model);
    }
}

} // namespace hibiscusfall::dispatch
