#include "request_log.hpp"

#include "hibiscusfall/telemetry/bounded_log.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <vector>

namespace hibiscusfall::relay::detail
{

namespace
{

std::string format_segments(const dispatch::prompt& prompt)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(prompt.segments.size());
    for (const auto& segment : prompt.segments) {
        ids.push_back(segment.id);
    }
    return format_ids(ids);
}

} // namespace

std::string format_ids(std::span<const std::uint64_t> ids)
{
    std::string text;
    std::array<char, 24> digits{};
    for (const auto id : ids) {
        const int length =
            std::snprintf(digits.data(), digits.size(), text.empty() ? "%" PRIx64 : ",%" PRIx64, id);
        text.append(digits.data(), static_cast<std::size_t>(length));
    }
    return text;
}

void log_request(const request_state& state, const request_log& log)
{
    if (!telemetry::admit_line()) {
        return;
    }
    telemetry::log_event line{"request"};
    const auto& server = state.server;
    line.with("id", state.metadata.id)
        .with("outcome", log.outcome)
        .with("status", log.status)
        .with("route", state.route == nullptr ? std::string_view{"-"} : std::string_view{state.route->name})
        .with("team", state.team == nullptr ? std::string_view{"-"} : state.team->id.view())
        .with("endpoint", log.endpoint.empty() ? std::string_view{"-"} : std::string_view{log.endpoint})
        .with("attempts", state.attempts)
        .with("weighed", log.considered)
        .with("expected_ms", log.expected.count() / 1000)
        .with("waited_ms", state.waited.count() / 1000)
        .with("took_ms", core::elapsed(state.arrived, event_loop::now()).count() / 1000)
        .with("first_ms", state.first_event.count() / 1000)
        .with("pause_ms", state.longest_pause.count() / 1000)
        .with("left_ms", core::elapsed(event_loop::now(), state.deadline).count() / 1000)
        .with("in_share", log.within_share)
        .with("read_again", log.read_again)
        .with("reused", log.reused_connection)
        .with("unframed", log.ends_with_connection)
        .with("version", state.table ? state.table->version : 0)
        .with("leaving", server.shutting_down);
    if (!log.second_send.empty()) {
        line.with("second_send", log.second_send);
    }
    if (!state.software_version.empty()) {
        line.with("software", state.software_version);
    }
    if (!state.metadata.last_event_id.empty()) {
        line.with("resumes", state.metadata.resumed_request).with("after", state.metadata.last_event_id);
    }
    if (!log.detail.empty()) {
        line.with("reason", log.detail);
    }
    telemetry::write(line);
}

void log_cut_attempt(const request_state& state,
                     const request_log& log,
                     const dispatch::running_request& running,
                     const attempt_result& end)
{
    if (!telemetry::admit_line()) {
        return;
    }
    const auto& generation = state.metadata.generation;
    const auto now = event_loop::now();
    const auto* endpoint = dispatch::find_endpoint(state.server.fleet, running.endpoint);
    const auto endpoint_silent =
        endpoint == nullptr ? core::duration::zero() : core::elapsed(endpoint->last_received, now);
    telemetry::write(telemetry::log_event{"attempt_cut"}
                         .with("id", state.metadata.id)
                         .with("endpoint", log.endpoint)
                         .with("attempt", state.attempts)
                         .with("reason", core::to_string(end.outcome.reason))
                         .with("begun", running.first_event_seen)
                         .with("head_sent", state.head_sent)
                         .with("delivered", state.delivered.last_id.value_or("-"))
                         .with("partial_bytes", end.partial_event_bytes)
                         .with("reused", end.reused_connection)
                         .with("unframed", end.ends_with_connection)
                         .with("sent_ms", core::elapsed(running.sent_at, now).count() / 1000)
                         .with("timed_out", end.timed_out)
                         .with("moved", end.moved)
                         .with("silent_ms", core::elapsed(state.progress_at, now).count() / 1000)
                         .with("endpoint_silent_ms", endpoint_silent.count() / 1000)
                         .with("runs", state.possible_runs)
                         .with("team", state.team == nullptr ? std::string_view{"-"} : state.team->id.view())
                         .with("request", format_ids(std::array{digest_of(state)}))
                         .with("parts", generation ? format_segments(*generation) : std::string{"-"}));
}

} // namespace hibiscusfall::relay::detail
