#include "crash_watch.hpp"

#include "request_log.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hibiscusfall::relay::detail
{

namespace
{

/// An endpoint that has ended refuses connections within a round trip.
constexpr core::duration probe_limit = std::chrono::milliseconds{400};
/// Time in which an endpoint that crashes behind bytes that cannot be read stops accepting connections.
constexpr core::duration crash_time = std::chrono::milliseconds{100};

void report_exonerations(relay_server& server, std::span<const std::uint64_t> traits, core::instant at)
{
    for (const auto trait : traits) {
        server.activity.exonerated_traits.emplace_back(trait, at);
    }
}

void apply_exonerations(relay_server& server, std::span<const std::uint64_t> traits, core::instant at)
{
    if (!traits.empty()) {
        report_exonerations(server, traits, at);
        apply_cause_changes(server);
    }
}

bool is_same_cause(const dispatch::crash_cause& a, const dispatch::crash_cause& b)
{
    return a.traits == b.traits && a.team == b.team;
}

bool contains(std::span<const dispatch::crash_cause> causes, const dispatch::crash_cause& cause)
{
    return std::any_of(
        causes.begin(), causes.end(), [&](const auto& each) { return is_same_cause(each, cause); });
}

void log_cause(const dispatch::crash_cause& cause, std::string_view state)
{
    telemetry::write(telemetry::log_event{"crash_cause"}
                         .with("state", state)
                         .with("parts", format_ids(cause.traits))
                         .with("team_tag", cause.team ? std::to_string(*cause.team) : "any")
                         .with("crashes", cause.crashes)
                         .with("confirmed", cause.confirmed)
                         .with("hold_ms", cause.hold.count() / 1000));
}

/// Tells the request from others at any instance. Callers may send an id again, so that it does not serve
/// here.
std::uint32_t arrival_of(const request_state& state)
{
    const auto instance = state.server.options.instance.view();
    return static_cast<std::uint32_t>(XXH64(instance.data(), instance.size(), state.first_ticket));
}

void record_crash(relay_server& server,
                  dispatch::endpoint_tag tag,
                  const std::vector<checked_attempt>& attempts)
{
    const auto now = event_loop::now();
    ++server.counters.endpoint_crashes;
    std::string_view id = "-";
    if (auto* endpoint = dispatch::find_endpoint(server.fleet, tag)) {
        dispatch::record_unreachable(server.fleet, *endpoint, now);
        id = endpoint->entry.id.view();
    }
    server.connections->close_idle(tag);
    telemetry::write(
        telemetry::log_event{"endpoint_crashed"}.with("endpoint", id).with("suspects", attempts.size()));
    for (const auto& [suspect, answered] : attempts) {
        server.activity.crash_suspects.push_back(suspect);
        report_exonerations(server, dispatch::record_suspect(server.fleet.crashes, suspect, now), now);
    }
    apply_cause_changes(server);
}

/// Clears the requests whose answers are whole, since their endpoint has not crashed.
void clear_answered(relay_server& server, const std::vector<checked_attempt>& attempts)
{
    const auto now = event_loop::now();
    for (const auto& [suspect, answered] : attempts) {
        if (answered) {
            const auto cleared = dispatch::exonerate(server.fleet.crashes, suspect.traits, now);
            apply_exonerations(server, cleared, now);
        }
    }
}

asio::awaitable<void> confirm_crash(relay_server& server,
                                    dispatch::endpoint_tag tag,
                                    core::address address,
                                    std::string id,
                                    core::duration pause)
{
    if (pause > core::duration::zero()) {
        co_await server.loop.sleep(pause);
    }
    auto probe = server.connections->make(tag);
    const auto error = co_await connect(probe, std::move(address), probe_limit);
    const auto attempts = std::move(server.crashes->unconfirmed[tag]);
    server.crashes->unconfirmed.erase(tag);
    if (error == asio::error::connection_refused) {
        record_crash(server, tag, attempts);
        co_return;
    }
    telemetry::write(telemetry::log_event{"endpoint_not_crashed"}
                         .with("endpoint", id)
                         .with("cut", attempts.size())
                         .with("probe", error ? error.message() : "connected"));
    if (!error) {
        clear_answered(server, attempts);
        probe->sent_all = true;
        server.connections->release(probe);
    }
}

} // namespace

void record_answer_start(request_state& state, std::uint64_t ticket)
{
    state.server.crashes->waiting.erase(ticket);
    if (!state.metadata.generation) {
        return;
    }
    const auto now = event_loop::now();
    const auto traits = state.traits ? *state.traits : dispatch::traits_of(&*state.metadata.generation);
    apply_exonerations(state.server, dispatch::record_start(state.server.fleet.crashes, traits, now), now);
}

void record_answer_end(request_state& state)
{
    const auto now = event_loop::now();
    const auto& traits = traits_of(state);
    apply_exonerations(state.server, dispatch::record_answer(state.server.fleet.crashes, traits, now), now);
}

void check_for_crash(request_state& state,
                     const dispatch::endpoint_state& endpoint,
                     answer_state answer,
                     bool connection_ended)
{
    const auto now = event_loop::now();
    auto& server = state.server;
    auto traits = traits_of(state);
    if (answer != answer_state::waiting) {
        traits.segments.clear();
    }
    auto& attempts = server.crashes->unconfirmed[endpoint.tag];
    const bool is_checked = !attempts.empty();
    attempts.push_back({.suspect = {.endpoint = endpoint.tag,
                                    .team = state.team_tag,
                                    .traits = dispatch::suspect_traits(server.fleet.crashes, traits, now),
                                    .crashed_at = now,
                                    .arrival = arrival_of(state)},
                        .answered = answer == answer_state::delivered});
    if (!is_checked) {
        asio::co_spawn(server.loop.context(),
                       confirm_crash(server,
                                     endpoint.tag,
                                     endpoint.entry.address,
                                     endpoint.entry.id.str(),
                                     connection_ended ? core::duration::zero() : crash_time),
                       server.loop.log_failure("confirm_crash"));
    }
}

void record_sending(request_state& state, std::uint64_t ticket)
{
    auto& server = state.server;
    server.crashes->waiting[ticket] = &state;
    state.first_ticket = state.first_ticket == 0 ? ticket : state.first_ticket;
    if (server.fleet.crashes.causes.empty()) {
        return;
    }
    const auto tried =
        dispatch::record_sending(server.fleet.crashes, traits_of(state), state.team_tag, event_loop::now());
    state.is_trial = state.is_trial || !tried.empty();
    for (const auto& cause : tried) {
        log_cause(cause, "trial");
        server.activity.tried_causes.push_back(cause);
    }
}

std::string describe(const dispatch::crash_cause& cause, const dispatch::request_traits& request)
{
    auto segments = cause.traits;
    std::string text;
    if (request.digest && std::erase(segments, *request.digest) > 0) {
        text = "the request " + format_ids({&*request.digest, 1});
    }
    if (!segments.empty()) {
        text += text.empty() ? "the prompt parts " : " with the prompt parts ";
        text += format_ids(segments);
    }
    return text;
}

const dispatch::crash_cause* find_crash_cause(request_state& state)
{
    const auto& crashes = state.server.fleet.crashes;
    return crashes.causes.empty()
               ? nullptr
               : dispatch::find_cause(crashes, traits_of(state), state.team_tag, event_loop::now());
}

void apply_cause_changes(relay_server& server)
{
    dispatch::update_causes(server.fleet.crashes, event_loop::now());
    const auto& causes = server.fleet.crashes.causes;
    auto& known = server.crashes->known_causes;
    if (causes.empty() && known.empty()) {
        return;
    }
    for (const auto& each : known) {
        if (!contains(causes, each)) {
            log_cause(each, "withdrawn");
        }
    }
    bool found = false;
    for (const auto& each : causes) {
        if (!contains(known, each)) {
            found = true;
            log_cause(each, "found");
        }
    }
    known = causes;
    if (!found) {
        return;
    }
    for (const auto& [ticket, state] : server.crashes->waiting) {
        if (!state->is_trial && find_crash_cause(*state) != nullptr) {
            state->withdrawn = true;
            state->caller.cancel_attempt();
        }
    }
}

} // namespace hibiscusfall::relay::detail
