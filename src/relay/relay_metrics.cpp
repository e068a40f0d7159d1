#include "hibiscusfall/relay/relay_server.hpp"

#include "endpoint_connection.hpp"

#include "hibiscusfall/telemetry/bounded_log.hpp"

namespace hibiscusfall::relay
{

namespace
{

void add_counters(telemetry::metrics_page& page, const relay_counters& counted)
{
    constexpr std::string_view requests = "hibiscusfall_requests_total";
    constexpr std::string_view help = "Requests by their final answer.";
    page.counter(requests, help, {{"outcome", "answered"}}, static_cast<double>(counted.answered));
    page.counter(requests, help, {{"outcome", "refused"}}, static_cast<double>(counted.refused));
    page.counter(requests, help, {{"outcome", "failed"}}, static_cast<double>(counted.failed));
    page.counter(requests, help, {{"outcome", "rejected"}}, static_cast<double>(counted.rejected));
    page.counter(
        requests, help, {{"outcome", "caller_gone"}}, static_cast<double>(counted.caller_disconnects));
    page.counter(requests, help, {{"outcome", "broken_stream"}}, static_cast<double>(counted.broken_streams));
    const auto count = [&page](std::string_view name, std::string_view text, std::uint64_t value) {
        page.counter(name, text, {}, static_cast<double>(value));
    };
    count("hibiscusfall_refused_share_total",
          "Refusals of teams beyond their share.",
          counted.refused_over_share);
    count("hibiscusfall_repeats_total", "Requests sent once more.", counted.retries);
    count("hibiscusfall_repeats_denied_total", "Repeats that the budget refused.", counted.retries_denied);
    count("hibiscusfall_foreign_answers_total",
          "Answers to other requests that were dropped.",
          counted.mismatched_responses);
    count("hibiscusfall_endpoint_crashes_total",
          "Crashes of endpoints found by this instance.",
          counted.endpoint_crashes);
    count("hibiscusfall_refused_crash_cause_total",
          "Refusals of requests to whose prompt parts crashes are attributed.",
          counted.refused_crash_cause);
    count("hibiscusfall_withdrawn_attempts_total",
          "Attempts withdrawn from endpoints that they may crash.",
          counted.withdrawn_attempts);
    count("hibiscusfall_repeats_withheld_total",
          "Repeats not sent, as the request may have crashed its endpoint.",
          counted.retries_withheld);
    count("hibiscusfall_endpoint_checks_total",
          "Requests to silent endpoints whether they still answer.",
          counted.endpoint_checks);
    count("hibiscusfall_endpoints_unresponsive_total",
          "Checks of silent endpoints without an answer.",
          counted.unresponsive_endpoints);
    count("hibiscusfall_attempts_moved_total",
          "Attempts that waited long and were given up for another one.",
          counted.moved_attempts);
    count("hibiscusfall_refused_buffers_total",
          "Requests refused as there was no room for their bodies.",
          counted.refused_buffers);
    count("hibiscusfall_dropped_responses_total",
          "Responses given up as there was no room for them.",
          counted.dropped_responses);
    count("hibiscusfall_refused_take_ups_total",
          "Streams not taken up, as no endpoint is known to run the version at which they began.",
          counted.refused_take_ups);
    count("hibiscusfall_cold_sends_total", "Requests sent to cold endpoints.", counted.cold_sends);
    count("hibiscusfall_cold_sends_withheld_total",
          "Requests placed at cold endpoints and sent elsewhere, as the allowance was used up.",
          counted.cold_sends_withheld);
    count("hibiscusfall_prefix_transfers_total",
          "Requests whose engine copied the beginning of the prompt from another one.",
          counted.prefix_transfers);
    count("hibiscusfall_transferred_tokens_total",
          "Expected tokens of these copies.",
          counted.transferred_tokens);
    count("hibiscusfall_second_sends_total",
          "Requests sent to a second endpoint while the first was slow.",
          counted.second_sends);
    count("hibiscusfall_second_sends_won_total",
          "Second sends whose response reached the caller.",
          counted.second_sends_won);
    count("hibiscusfall_second_sends_lost_total",
          "Second sends that were cancelled or failed.",
          counted.second_sends_lost);
    constexpr std::string_view denied = "hibiscusfall_second_sends_denied_total";
    constexpr std::string_view denied_help = "Second sends not made, by what denied them.";
    const auto count_denied = [&](std::string_view by, std::uint64_t value) {
        page.counter(denied, denied_help, {{"by", by}}, static_cast<double>(value));
    };
    count_denied("limit", counted.second_sends_over_limit);
    count_denied("budget", counted.second_sends_over_budget);
    count_denied("room", counted.second_sends_without_room);
    count("hibiscusfall_connections_total", "Connections of callers.", counted.connections);
    count("hibiscusfall_refused_connections_total",
          "Connections of callers refused for want of descriptors.",
          counted.refused_connections);
    count("hibiscusfall_closed_idle_connections_total",
          "Idle connections of callers closed to make room for others.",
          counted.closed_idle_connections);
}

void add_endpoints(telemetry::metrics_page& page, const dispatch::fleet_state& book, core::instant now)
{
    const auto each = [&](std::string_view name, std::string_view help, auto value) {
        for (const auto& state : book.endpoints) {
            page.gauge(name, help, {{"endpoint", state.entry.id.view()}}, static_cast<double>(value(state)));
        }
    };
    each("hibiscusfall_endpoint_listed", "1 while the endpoint gets new requests.", [](const auto& state) {
        return state.listed ? 1 : 0;
    });
    each("hibiscusfall_endpoint_running", "Requests running, of all instances.", [](const auto& state) {
        return state.model.own_requests + state.model.peer_requests;
    });
    each("hibiscusfall_endpoint_unread_tokens",
         "Prompt tokens not read yet, predicted.",
         [now](const auto& state) { return dispatch::queued_prefill_tokens(state.model, now); });
    each("hibiscusfall_endpoint_tokens_per_ms", "Learned reading speed.", [](const auto& state) {
        return state.model.prefill_tokens_per_ms;
    });
    each("hibiscusfall_endpoint_cold", "1 while the endpoint is cold, or may be.", [&](const auto& state) {
        return dispatch::is_cold(book.cold, state.tag, now) ? 1 : 0;
    });
    each("hibiscusfall_endpoint_recent_failures", "Failures, fading with time.", [now](const auto& state) {
        return dispatch::recent_failures(state.health, now);
    });
}

} // namespace

void relay_server::add_metrics_source(std::function<void(telemetry::metrics_page&)> more)
{
    this->metrics_sources.push_back(std::move(more));
}

std::string relay_server::metrics_text() const
{
    const auto now = event_loop::now();
    telemetry::metrics_page page;
    add_counters(page, this->counters);
    page.gauge("hibiscusfall_buffered_bytes",
               "Bytes of requests and responses held.",
               {},
               static_cast<double>(this->buffers->held()));
    page.gauge("hibiscusfall_buffered_bytes_peak",
               "Most of these bytes at once since the start.",
               {},
               static_cast<double>(this->buffers->peak));
    page.histogram("hibiscusfall_first_event_seconds",
                   "From sending to the first event.",
                   {},
                   this->first_event_latency.snapshot());
    page.histogram("hibiscusfall_start_later_seconds",
                   "First events later than predicted, by how much.",
                   {},
                   this->late_first_events.snapshot());
    page.histogram("hibiscusfall_start_earlier_seconds",
                   "First events earlier than predicted, by how much.",
                   {},
                   this->early_first_events.snapshot());
    add_endpoints(page, this->fleet, now);
    page.gauge("hibiscusfall_configuration_version",
               "Version in force.",
               {},
               this->table ? static_cast<double>(this->table->version) : 0);
    page.gauge("hibiscusfall_instances", "Instances that budgets are divided by.", {}, this->instance_count);
    page.gauge("hibiscusfall_crash_causes",
               "Groups of prompt parts to which crashes are attributed.",
               {},
               static_cast<double>(this->fleet.crashes.causes.size()));
    page.gauge("hibiscusfall_evacuated_domains",
               "Failure domains whose endpoints get no requests.",
               {},
               static_cast<double>(this->fleet.evacuated.size()));
    page.gauge("hibiscusfall_sessions",
               "Open connections of callers.",
               {},
               static_cast<double>(this->sessions->size()));
    page.gauge("hibiscusfall_links",
               "Open connections to endpoints.",
               {},
               static_cast<double>(this->connections->open_count()));
    page.counter("hibiscusfall_links_total",
                 "Connections made to endpoints.",
                 {},
                 static_cast<double>(this->connections->created_count()));
    page.gauge("hibiscusfall_share_level_tokens",
               "Tokens that each team may have in the window; 0 for all it asks.",
               {},
               this->fleet.shares.level);
    page.counter("hibiscusfall_log_lines_left_out_total",
                 "Log lines beyond the bounds.",
                 {},
                 static_cast<double>(telemetry::dropped_lines()));
    page.gauge("hibiscusfall_spare_factor",
               "Of the stated supply, up to which teams beyond their shares are served.",
               {},
               this->spare.factor);
    for (const auto& add : this->metrics_sources) {
        add(page);
    }
    return page.text();
}

} // namespace hibiscusfall::relay
