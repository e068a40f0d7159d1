#include "crash_watch.hpp"

#include "request_log.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/co_spawn.hpp>

#include <algorithm>
#include <utility>

namespace hibiscusfall::relay::detail
{

namespace
{

/// An endpoint that has ended refuses connections within a round trip.
constexpr core::duration probe_limit = std::chrono::milliseconds{400};

void add_exonerations(relay_server& server, std::span<const std::uint64_t> segments, core::instant at)
{
    for (const auto segment : segments) {
        server.activity.exonerated_segments.emplace_back(segment, at);
    }
}

bool is_same_cause(const dispatch::crash_cause& a, const dispatch::crash_cause& b)
{
    return a.segments == b.segments && a.team == b.team;
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
                         .with("parts", format_segments(cause.segments))
                         .with("team_tag", cause.team ? std::to_string(*cause.team) : "any")
                         .with("crashes", cause.crashes)
                         .with("confirmed", cause.confirmed)
                         .with("hold_ms", cause.hold.count() / 1000));
}

void record_crash(relay_server& server,
                  dispatch::endpoint_tag tag,
                  const std::vector<dispatch::crash_suspect>& suspects)
{
    const auto now = event_loop::now();
    ++server.counters.endpoint_crashes;
    std::string_view id = "-";
    if (auto* endpoint = dispatch::find_endpoint(server.fleet, tag)) {
        dispatch::record_outcome(endpoint->health, dispatch::request_outcome::unreachable, now);
        id = endpoint->entry.id.view();
    }
    server.connections->close_idle(tag);
    telemetry::write(
        telemetry::log_event{"endpoint_crashed"}.with("endpoint", id).with("suspects", suspects.size()));
    for (const auto& suspect : suspects) {
        if (suspect.segments.empty()) {
            continue;
        }
        server.activity.crash_suspects.push_back(suspect);
        add_exonerations(server, dispatch::record_suspect(server.fleet.crashes, suspect, now), now);
    }
    apply_cause_changes(server);
}

asio::awaitable<void>
confirm_crash(relay_server& server, dispatch::endpoint_tag tag, core::address address, std::string id)
{
    auto probe = server.connections->make(tag);
    const auto error = co_await connect(probe, std::move(address), probe_limit);
    const auto suspects = std::move(server.crashes->unconfirmed[tag]);
    server.crashes->unconfirmed.erase(tag);
    if (error == asio::error::connection_refused) {
        record_crash(server, tag, suspects);
        co_return;
    }
    telemetry::write(telemetry::log_event{"endpoint_not_crashed"}
                         .with("endpoint", id)
                         .with("cut", suspects.size())
                         .with("probe", error ? error.message() : "connected"));
    if (!error) {
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
    const auto exonerated =
        dispatch::record_start(state.server.fleet.crashes, *state.metadata.generation, now);
    if (!exonerated.empty()) {
        add_exonerations(state.server, exonerated, now);
        apply_cause_changes(state.server);
    }
}

void check_for_crash(relay_server& server,
                     const dispatch::endpoint_state& endpoint,
                     const dispatch::prompt& prompt,
                     dispatch::team_tag team)
{
    const auto now = event_loop::now();
    auto& suspects = server.crashes->unconfirmed[endpoint.tag];
    const bool is_checked = !suspects.empty();
    suspects.push_back({.endpoint = endpoint.tag,
                        .team = team,
                        .segments = dispatch::suspect_segments(server.fleet.crashes, prompt, now),
                        .crashed_at = now});
    if (!is_checked) {
        asio::co_spawn(server.loop.context(),
                       confirm_crash(server, endpoint.tag, endpoint.entry.address, endpoint.entry.id.str()),
                       server.loop.log_failure("confirm_crash"));
    }
}

void apply_cause_changes(relay_server& server)
{
    const auto now = event_loop::now();
    dispatch::update_causes(server.fleet.crashes, now);
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
        if (dispatch::find_cause(server.fleet.crashes, *state->metadata.generation, state->team_tag, now) !=
            nullptr) {
            state->withdrawn = true;
            state->caller.cancel_attempt();
        }
    }
}

} // namespace hibiscusfall::relay::detail
