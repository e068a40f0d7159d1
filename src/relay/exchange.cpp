#include "exchange.hpp"

#include "hibiscusfall/dispatch/prefix_transfer.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusfall::relay::detail
{

using core::failure;
using core::verdict;
using dispatch::request_outcome;

namespace
{

/// Records the shutdown and back-off announcements in the headers of a response.
void record_announcements(relay_server& server,
                          dispatch::endpoint_tag tag,
                          const response_metadata& metadata,
                          core::instant now)
{
    auto* endpoint = dispatch::find_endpoint(server.fleet, tag);
    if (endpoint == nullptr) {
        return;
    }
    const auto id = endpoint->entry.id.view();
    if (metadata.shutting_down && dispatch::record_departure(server.fleet.announced_departures, tag, now)) {
        server.activity.leaving_endpoints.push_back(tag);
        server.connections->close_idle(tag);
        telemetry::write(
            telemetry::log_event{"endpoint_leaves"}.with("endpoint", id).with("cause", "answer"));
    }
    if (metadata.backoff) {
        if (!dispatch::is_backing_off(endpoint->health, now)) {
            telemetry::write(telemetry::log_event{"endpoint_rests"}
                                 .with("endpoint", id)
                                 .with("for_ms", metadata.backoff->count() / 1000));
        }
        dispatch::record_requested_backoff(endpoint->health, *metadata.backoff, now);
    }
    if (metadata.malformed_backoff) {
        telemetry::write_error(telemetry::log_event{"endpoint_rest_unreadable"}.with("endpoint", id));
    }
}

} // namespace

attempt_result failed(verdict outcome, request_outcome sign)
{
    return {.outcome = std::move(outcome), .sign = sign};
}

std::string format_request_head(const request_state& state,
                                const dispatch::endpoint_state& endpoint,
                                std::optional<dispatch::endpoint_tag> prefix_source,
                                core::instant now)
{
    request_head head{state.request.base()};
    const auto end = state.route->kind == catalog::route_kind::stream
                         ? state.deadline
                         : std::min(state.deadline, state.timeout_at);
    const bool resumes = state.delivered.last_id.has_value();
    // Opening the connection has taken time: meanwhile the source may have been evacuated or have left.
    auto& fleet = state.server.fleet;
    const auto* source = prefix_source ? dispatch::find_endpoint(fleet, *prefix_source) : nullptr;
    const bool copies = source != nullptr && dispatch::is_usable_source(fleet, *source, now);
    state.server.http_dialect.prepare_forwarding(
        head,
        {.time_left = core::elapsed(now, end),
         .endpoint = &endpoint.entry.id,
         .team = state.team == nullptr ? nullptr : &state.team->id,
         .prefix_source = copies ? &source->entry.address : nullptr,
         .last_event_id = resumes ? std::string_view{*state.delivered.last_id} : std::string_view{}});
    std::string text{to_view(head.method_string())};
    text += ' ';
    text += to_view(head.target());
    text += " HTTP/1.1\r\n";
    for (const auto& field : head) {
        text += to_view(field.name_string());
        text += ": ";
        text += to_view(field.value());
        text += "\r\n";
    }
    const bool has_body = !state.request.body().empty() || head.method() == http::verb::post ||
                          head.method() == http::verb::put || head.method() == http::verb::patch;
    if (has_body) {
        text += "Content-Length: " + std::to_string(state.request.body().size()) + "\r\n";
    }
    text += "\r\n";
    return text;
}

std::unique_ptr<streaming_parser> make_streaming_parser(head_parser&& head)
{
    auto parser = std::make_unique<streaming_parser>(std::move(head));
    // No size limit: the deadline bounds its time, and at most one event is buffered.
    parser->body_limit(boost::none);
    return parser;
}

attempt_result
incomplete_response(const request_state& state, const endpoint_connection& connection, read_result end)
{
    if (state.caller.is_disconnected()) {
        return {.outcome = verdict::may_have_run(failure::caller_gone, "the caller closed its connection"),
                .caller_disconnected = true};
    }
    if (end == read_result::timed_out) {
        auto result = failed(verdict::may_have_run(failure::deadline, "the endpoint did not answer in time"),
                             request_outcome::failed);
        result.timed_out = true;
        return result;
    }
    if (end == read_result::malformed) {
        return failed(verdict::may_have_run(failure::garbled_answer, "the endpoint's answer cannot be read"),
                      request_outcome::failed);
    }
    if (end == read_result::no_room) {
        ++state.server.counters.dropped_responses;
        return failed(verdict::may_have_run(failure::no_room, "this instance has no room for the response"),
                      request_outcome::succeeded);
    }
    if (connection.send_failed && connection.sent_bytes == 0) {
        return failed(
            verdict::not_run(failure::connection_failed, "the connection closed before the request"),
            request_outcome::failed);
    }
    return failed(verdict::may_have_run(failure::connection_broken, "the connection broke before the answer"),
                  request_outcome::failed);
}

attempt_result classify_failure(const response_metadata& metadata, buffered_response answer)
{
    if (metadata.not_run) {
        return failed(verdict::not_run(failure::endpoint_refused, "the endpoint refused the request"),
                      request_outcome::refused);
    }
    if (!metadata.is_signed || metadata.request_id.empty()) {
        return failed(
            verdict::may_have_run(failure::garbled_answer, "the response has no signature or no request id"),
            request_outcome::failed);
    }
    const bool fault = answer.status >= 500;
    attempt_result result{.outcome =
                              verdict::may_have_run(failure::endpoint_refused,
                                                    "the endpoint answered " + std::to_string(answer.status)),
                          .sign = fault ? request_outcome::failed : request_outcome::succeeded};
    result.answer = std::move(answer);
    return result;
}

further_response search_buffered(const request_state& state,
                                 const endpoint_connection& connection,
                                 const buffered_parser& parser,
                                 bool is_refusal)
{
    const std::string_view body = parser.get().body();
    const auto received = connection.buffer.cdata();
    std::string joined;
    if (received.size() > 0) {
        joined = body;
        joined.append(static_cast<const char*>(received.data()), received.size());
    }
    const bool end_in_doubt = parser.need_eof() || received.size() > 0;
    return find_further_response(received.size() > 0 ? std::string_view{joined} : body,
                                 state.server.http_dialect,
                                 {.request_id = state.metadata.id,
                                  .any_request = !is_refusal && connection.reused && end_in_doubt,
                                  .starts_before = is_refusal ? std::string_view::npos : body.size()});
}

bool is_event_stream(const request_state& state, const response_head& head)
{
    constexpr std::string_view event_type = "text/event-stream";
    const auto type = to_view(head[http::field::content_type]);
    return head.result() == http::status::ok && !state.caller.expects_no_body() &&
           (type.empty() ||
            beast::iequals(to_beast(type.substr(0, event_type.size())), to_beast(event_type)));
}

bool is_valid_begin(const response_metadata& metadata, const response_head& head)
{
    return head.result_int() / 100 == 2 && metadata.is_signed && !metadata.request_id.empty() &&
           !metadata.not_run;
}

response_metadata
record_response_head(relay_server& server, dispatch::endpoint_tag tag, const response_head& head)
{
    const auto now = event_loop::now();
    if (auto* endpoint = dispatch::find_endpoint(server.fleet, tag)) {
        dispatch::record_response(server.fleet, *endpoint, now);
        if (endpoint->entry.domain != server.fleet.own_domain) {
            server.fleet.domain_last_received[endpoint->entry.domain] = endpoint->last_received;
        }
    }
    const auto metadata = server.http_dialect.read_response(head);
    record_announcements(server, tag, metadata, now);
    return metadata;
}

} // namespace hibiscusfall::relay::detail
