#include "attempt.hpp"

#include "crash_watch.hpp"
#include "exchange.hpp"
#include "refusal.hpp"
#include "request_target.hpp"
#include "stream_beginning.hpp"

#include "hibiscusfall/dispatch/answer_wait.hpp"
#include "hibiscusfall/dispatch/request_digest.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace hibiscusfall::relay::detail
{

namespace
{

using core::failure;
using core::verdict;
using dispatch::request_outcome;

/// Connections within a site take a few ms; a lost SYN is retransmitted only after 1 s.
constexpr core::duration connect_limit = std::chrono::milliseconds{400};
/// Result of an attempt that another endpoint has answered before it.
attempt_result answered_elsewhere(endpoint_connection& connection)
{
    connection.close();
    return failed(verdict::may_have_run(failure::connection_broken, "another endpoint has answered first"),
                  request_outcome::succeeded);
}

asio::awaitable<attempt_result> relay_buffered(request_state& state,
                                               std::shared_ptr<endpoint_connection> connection,
                                               std::unique_ptr<head_parser> head,
                                               std::uint64_t ticket)
{
    buffered_parser parser{std::move(*head)};
    head.reset();
    const auto end = co_await read_body(connection, parser);
    if (end != read_result::complete) {
        connection->close();
        co_return incomplete_response(state, *connection, end);
    }
    const auto metadata = state.server.http_dialect.read_response(parser.get());
    if (metadata.idle_timeout) {
        connection->set_idle_timeout(*metadata.idle_timeout);
    }
    if (!parser.get().keep_alive() || parser.need_eof()) {
        connection->broken = true;
    }
    const auto further = search_buffered(state, *connection, parser, metadata.not_run);
    if (metadata.not_run && further == further_response::answer) {
        connection->close();
        co_return failed(
            verdict::may_have_run(failure::garbled_answer, "an answer to the request follows its refusal"),
            request_outcome::failed);
    }
    if (!metadata.not_run && further != further_response::none) {
        connection->close();
        co_return failed(
            verdict::may_have_run(failure::garbled_answer, "a further response stands in the answer"),
            request_outcome::failed);
    }
    buffered_response answer{.status = parser.get().result_int(),
                             .head = response_fields(parser.get()),
                             .body = std::move(parser.get().body()),
                             .held = connection->received.take()};
    const bool success = answer.status >= 200 && answer.status < 300;
    const bool is_answer = metadata.is_signed && !metadata.request_id.empty() && !metadata.not_run;
    // An endpoint that fails may have been spared by its failure, and the end of a connection may be a crash.
    if (is_answer && answer.status < 500 && !parser.need_eof()) {
        record_answer_end(state);
    }
    if (!success || !is_answer) {
        co_return classify_failure(metadata, std::move(answer));
    }
    record_answer_start(state, ticket);
    co_await send_response(state, answer);
    attempt_result result{.outcome = verdict::ran(), .delivered = !state.caller.is_disconnected()};
    result.caller_disconnected = state.caller.is_disconnected();
    co_return result;
}

std::string chunk_header(std::size_t bytes)
{
    std::array<char, 24> digits{};
    const int length = std::snprintf(digits.data(), digits.size(), "%zx\r\n", bytes);
    return {digits.data(), static_cast<std::size_t>(length)};
}

asio::awaitable<void> send_stream_head(request_state& state, const response_head& head)
{
    state.head_sent = true;
    std::string text = response_fields(head) + "Transfer-Encoding: chunked\r\n";
    text += state.caller.connection_header();
    std::string status = "HTTP/1.1 " + std::to_string(head.result_int()) + " ";
    status += reason_phrase(head.result_int());
    status += "\r\n";
    co_await state.caller.write(status, text);
}

/// Records that an event arrived; comments and the end mark are none.
void note_event(request_state& state, dispatch::running_request& running, core::instant now)
{
    if (state.first_event == core::duration::zero()) {
        state.first_event = core::elapsed(state.arrived, now);
    } else {
        state.longest_pause = std::max(state.longest_pause, core::elapsed(state.last_event, now));
    }
    state.last_event = now;
    state.progress_at = now;
    if (state.software_version.empty()) {
        state.software_version = state.attempt_version;
    }
    if (auto* endpoint = dispatch::find_endpoint(state.server.fleet, running.endpoint)) {
        endpoint->last_received = now;
    }
    if (!running.first_event_seen) {
        record_answer_start(state, running.ticket);
        const auto error = dispatch::record_first_event(
            state.server.fleet, running, now - observation_delay(state.server.load));
        state.server.first_event_latency.record(error.observed);
        if (error.observed >= error.expected) {
            state.server.late_first_events.record(error.observed - error.expected);
        } else {
            state.server.early_first_events.record(error.expected - error.observed);
        }
    }
    dispatch::record_event(state.server.fleet, running, now);
}

/// Whether the caller has received as many events as tokens were requested, so that no event can follow.
bool has_every_token(const request_state& state)
{
    const auto& generation = state.metadata.generation;
    return generation && generation->max_output_tokens > 0 &&
           state.delivered.tokens >= generation->max_output_tokens;
}

/// Relays complete events until the stream ends.
/// @remarks After a resume, an end without any event is taken as the stream's end only if an end mark or the
/// number of tokens shows that the caller has every event. Otherwise the stream breaks: a caller that resumes
/// learns from its own request that nothing follows, but one that received a false end cannot know.
asio::awaitable<attempt_result> relay_events(request_state& state,
                                             std::shared_ptr<endpoint_connection> connection,
                                             begun_response response,
                                             traffic::event_scanner& scanner,
                                             dispatch::running_request& running,
                                             const attempt_limits& limits)
{
    auto& parser = *response.stream;
    const auto metadata = state.server.http_dialect.read_response(parser.get());
    if (metadata.idle_timeout) {
        connection->set_idle_timeout(*metadata.idle_timeout);
    }
    std::string piece;
    const bool resumed = state.head_sent || !state.metadata.last_event_id.empty();
    state.progress_at = event_loop::now(); // comments and partial events are no progress
    while (true) {
        connection->expires = !running.first_event_seen ? limits.start
                              : state.route->resumable  ? state.progress_at + dispatch::pause_before_check
                                                        : state.deadline;
        connection->expires = std::min(connection->expires, state.deadline);
        auto end = read_result::complete;
        if (!response.events.empty()) {
            piece = std::exchange(response.events, {});
        } else {
            end = co_await read_body_chunk(connection, parser, piece);
        }
        if (end != read_result::complete) {
            connection->close();
            co_return incomplete_response(state, *connection, end);
        }
        if (piece.empty()) {
            break;
        }
        if (!connection->received.resize(scanner.partial.size() + piece.size())) {
            connection->close();
            co_return incomplete_response(state, *connection, read_result::no_room);
        }
        const auto events_before = scanner.progress.tokens;
        if (traffic::feed(scanner, piece) != traffic::scan_fault::none) {
            connection->close();
            co_return failed(verdict::may_have_run(failure::garbled_answer,
                                                   "the stream's events are malformed or out of order"),
                             request_outcome::failed);
        }
        if (scanner.ready.empty()) {
            continue;
        }
        if (!state.head_sent && !limits.claim()) {
            co_return answered_elsewhere(*connection);
        }
        if (scanner.progress.tokens > events_before) {
            note_event(state, running, event_loop::now());
        }
        // While the caller does not read, nothing is read from the endpoint: that is no pause of the stream.
        connection->expires = state.deadline;
        const auto write_began = event_loop::now();
        if (!state.head_sent) {
            co_await hold_until_stored(state);
            co_await send_stream_head(state, parser.get());
        }
        auto ready = std::move(scanner.ready);
        scanner.ready.clear();
        const auto size = chunk_header(ready.size());
        ready += "\r\n";
        const bool passed_on = co_await state.caller.write(size, ready);
        state.progress_at += core::elapsed(write_began, event_loop::now());
        if (!passed_on) {
            connection->close();
            co_return incomplete_response(state, *connection, read_result::closed);
        }
        state.delivered = scanner.progress;
    }
    if (!scanner.partial.empty()) {
        connection->close();
        co_return failed(
            verdict::may_have_run(failure::connection_broken, "the stream ended inside an event"),
            request_outcome::failed);
    }
    // The end of a connection without an event before it is no end of a stream: the endpoint has closed
    // early.
    if (parser.need_eof() && !running.first_event_seen) {
        connection->close();
        co_return failed(
            verdict::may_have_run(failure::connection_broken, "the stream ended before its first event"),
            request_outcome::failed);
    }
    if (scanner.expected_id && !scanner.progress.ended && !has_every_token(state)) {
        connection->close();
        co_return failed(
            verdict::may_have_run(failure::garbled_answer, "the resumed stream ended without an event"),
            request_outcome::succeeded);
    }
    if (!parser.get().keep_alive() || parser.need_eof()) {
        connection->broken = true;
    }
    if (!resumed && (!parser.need_eof() || scanner.progress.ended || has_every_token(state))) {
        record_answer_end(state);
    }
    if (!state.head_sent && !limits.claim()) {
        co_return answered_elsewhere(*connection);
    }
    if (!state.head_sent) {
        co_await send_stream_head(state, parser.get());
    }
    const bool written = co_await state.caller.write("0\r\n\r\n", {});
    attempt_result result{.outcome = verdict::ran(), .delivered = written};
    result.caller_disconnected = !written;
    co_return result;
}

/// Relays a response whose head has been read.
asio::awaitable<attempt_result> relay_response(request_state& state,
                                               std::shared_ptr<endpoint_connection> connection,
                                               begun_response response,
                                               dispatch::running_request& running,
                                               const attempt_limits& limits)
{
    const bool ends_with_connection =
        response.stream ? response.stream->need_eof() : response.head->need_eof();
    if (response.stream) {
        auto scanner = scanner_for_next_attempt(state);
        if (!scanner) {
            connection->close();
            co_return failed(verdict::may_have_run(failure::connection_broken,
                                                   "the stream cannot be resumed after its last event"),
                             request_outcome::succeeded);
        }
        auto result =
            co_await relay_events(state, connection, std::move(response), *scanner, running, limits);
        result.ends_with_connection = ends_with_connection;
        result.partial_event_bytes = scanner->partial.size();
        co_return result;
    }
    connection->expires = std::min(state.deadline, std::max(limits.start, event_loop::now()));
    auto result = co_await relay_buffered(state, connection, std::move(response.head), running.ticket);
    result.ends_with_connection = ends_with_connection;
    co_return result;
}

/// Reads and relays the response on the connection that the request was sent on.
asio::awaitable<attempt_result> relay_answer(request_state& state,
                                             std::shared_ptr<endpoint_connection> connection,
                                             dispatch::running_request& running,
                                             const attempt_limits& limits)
{
    connection->timed_out = false;
    connection->expires = limits.start;
    std::unique_ptr<head_parser> head;
    const auto end = co_await read_head(connection,
                                        state.server.http_dialect,
                                        state.metadata.id,
                                        state.caller.expects_no_body(),
                                        head,
                                        state.server.counters.mismatched_responses);
    if (end != read_result::complete) {
        connection->close();
        co_return incomplete_response(state, *connection, end);
    }
    const auto metadata = record_response_head(state.server, connection->endpoint, head->get());
    const bool success = head->get().result_int() / 100 == 2;
    const bool is_stream = is_event_stream(state, head->get());
    if (state.head_sent && success && !is_stream) {
        connection->close();
        co_return failed(
            verdict::may_have_run(failure::garbled_answer, "the response to a resumed request is no stream"),
            request_outcome::failed);
    }
    begun_response response;
    if (state.route->kind == catalog::route_kind::stream && is_stream && metadata.is_signed &&
        !metadata.request_id.empty()) {
        response.stream = make_streaming_parser(std::move(*head));
    } else if (is_valid_begin(metadata, head->get()) && !limits.claim()) {
        co_return answered_elsewhere(*connection);
    } else {
        response.head = std::move(head);
    }
    co_return co_await relay_response(state, connection, std::move(response), running, limits);
}

/// Asks whether to wait on for as long as the attempt lasts.
class extension
{
public:
    extension(std::shared_ptr<endpoint_connection> of, std::function<core::instant(core::instant)> ask)
        : connection(std::move(of))
    {
        this->connection->extend = std::move(ask);
    }
    ~extension() { this->connection->extend = nullptr; }
    extension(const extension&) = delete;
    extension& operator=(const extension&) = delete;

private:
    std::shared_ptr<endpoint_connection> connection;
};

/// Awaits the end of an exchange, and gives its connection back.
asio::awaitable<attempt_result> conclude(request_state& state,
                                         std::shared_ptr<endpoint_connection> connection,
                                         const attempt_limits& limits,
                                         asio::awaitable<attempt_result> exchange)
{
    const extension extended{connection, limits.extend};
    auto end = co_await std::move(exchange);
    end.reused_connection = connection->reused;
    state.caller.set_connection(nullptr);
    if (end.caller_disconnected) {
        connection->close();
    }
    connection->broken = connection->broken || dispatch::is_departing(state.server.fleet.announced_departures,
                                                                      connection->endpoint);
    state.server.connections->release(connection);
    co_return end;
}

asio::awaitable<std::shared_ptr<endpoint_connection>>
acquire_connection(request_state& state, const dispatch::endpoint_state& endpoint)
{
    const bool fresh = !state.route->repeatable();
    auto connection = state.server.connections->take_idle(endpoint.tag, fresh);
    if (connection) {
        co_return connection;
    }
    connection = state.server.connections->make(endpoint.tag);
    state.caller.set_connection(connection);
    const auto address = endpoint.entry.address;
    const auto left = core::elapsed(event_loop::now(), state.deadline);
    const auto error = co_await connect(
        connection, address, std::min(connect_limit + observation_delay(state.server.load), left));
    if (error) {
        co_return nullptr;
    }
    co_return connection;
}

} // namespace

std::optional<traffic::event_scanner> scanner_for_next_attempt(const request_state& state)
{
    const auto& delivered = state.delivered;
    const bool is_begun = delivered.tokens > 0 || delivered.last_id || delivered.ended;
    return is_begun ? traffic::continue_after(delivered) : traffic::event_scanner{};
}

dispatch::stream_tag stream_of(const request_state& state)
{
    const auto& metadata = state.metadata;
    return dispatch::tag_of_stream(
        state.team_tag, state.service, is_take_up(state) ? metadata.resumed_request : metadata.id);
}

bool is_take_up(const request_state& state)
{
    return is_take_up(*state.route, state.metadata);
}

std::uint64_t digest_of(const request_state& state)
{
    return dispatch::digest_of({.service = state.service.view(),
                                .method = to_view(state.request.method_string()),
                                .host = state.route->host,
                                .target = to_view(state.request.target()),
                                .team = state.team_tag,
                                .body = state.request.body()});
}

const dispatch::request_traits& traits_of(request_state& state)
{
    if (!state.traits) {
        const auto& generation = state.metadata.generation;
        state.traits = dispatch::traits_of(generation ? &*generation : nullptr);
        state.traits->digest = digest_of(state);
    }
    return *state.traits;
}

std::string response_fields(const response_head& head)
{
    http::fields fields{head};
    remove_connection_headers(fields, [](std::string_view) { return false; });
    fields.erase(http::field::content_length);
    std::string text;
    for (const auto& field : fields) {
        text += to_view(field.name_string());
        text += ": ";
        text += to_view(field.value());
        text += "\r\n";
    }
    return text;
}

asio::awaitable<void> send_response(request_state& state, const buffered_response& answer)
{
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    head += reason_phrase(answer.status);
    head += "\r\n" + answer.head;
    if (answer.status != 204 && answer.status != 304 && !state.caller.expects_no_body()) {
        head += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n";
    }
    head += state.caller.connection_header();
    state.head_sent = true;
    co_await state.caller.write(head, answer.body);
}

asio::awaitable<attempt_result> run_attempt(request_state& state,
                                            dispatch::running_request& running,
                                            attempt_limits limits,
                                            prepared_attempt prepared)
{
    if (prepared.response) {
        state.caller.set_connection(prepared.connection);
        state.progress_at = event_loop::now();
        auto relayed =
            relay_response(state, prepared.connection, std::move(*prepared.response), running, limits);
        co_return co_await conclude(state, prepared.connection, limits, std::move(relayed));
    }
    const auto* endpoint = dispatch::find_endpoint(state.server.fleet, running.endpoint);
    if (endpoint == nullptr) {
        co_return failed(verdict::not_run(failure::no_endpoint, "the endpoint is gone"),
                         request_outcome::succeeded);
    }
    const auto chosen =
        *endpoint; // copied, since the fleet state may change while this coroutine is suspended
    auto connection = std::move(prepared.connection);
    if (!connection) {
        connection = co_await acquire_connection(state, chosen);
    }
    // On a busy instance the caller may have disconnected before its request was read.
    if (!connection || state.caller.check_disconnected()) {
        if (connection) {
            state.server.connections->release(connection);
        }
        if (state.caller.is_disconnected()) {
            co_return attempt_result{.outcome =
                                         verdict::not_run(failure::caller_gone, "the caller disconnected"),
                                     .caller_disconnected = true};
        }
        co_return failed(verdict::not_run(failure::connection_failed, "no connection to the endpoint"),
                         request_outcome::unreachable);
    }
    // The endpoint may have announced its shutdown or a back-off while the connection was being made.
    const auto* updated = dispatch::find_endpoint(state.server.fleet, chosen.tag);
    const bool fits = updated != nullptr &&
                      (state.software_version.empty() || state.software_version == updated->software_version);
    const auto now = event_loop::now();
    const bool accepted = fits && dispatch::accepts_requests(state.server.fleet, *updated, now);
    const bool allowed = accepted && dispatch::try_take_send(state.server.fleet, *updated, now);
    state.server.counters.cold_sends_withheld += accepted && !allowed ? 1 : 0;
    if (!allowed) {
        state.server.connections->release(connection);
        auto end = failed(
            verdict::not_run(failure::no_endpoint,
                             accepted ? "the endpoint is cold" : "the endpoint no longer accepts requests"),
            request_outcome::succeeded);
        end.unsent = true;
        co_return end;
    }
    state.server.counters.cold_sends += dispatch::is_cold(state.server.fleet.cold, updated->tag, now) ? 1 : 0;
    state.attempt_version = updated->software_version;
    record_beginning(state);
    state.caller.set_connection(connection);
    state.progress_at = event_loop::now();
    start_sending(connection,
                  format_request_head(state, chosen, state.prefix_source, event_loop::now()),
                  state.caller.request_body());
    auto answered = relay_answer(state, connection, running, limits);
    co_return co_await conclude(state, connection, limits, std::move(answered));
}

} // namespace hibiscusfall::relay::detail
