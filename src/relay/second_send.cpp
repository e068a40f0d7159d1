#include "second_send.hpp"

#include "crash_watch.hpp"
#include "exchange.hpp"
#include "request_rules.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace hibiscusfall::relay::detail
{

using core::failure;
using core::run_state;
using core::verdict;
using dispatch::request_outcome;

namespace
{

/// Connections within a site take a few ms; a lost SYN is retransmitted only after 1 s.
constexpr core::duration connect_limit = std::chrono::milliseconds{400};

/// Result of a second send that ended with its request; nobody reads it.
attempt_result ended_result()
{
    return failed(verdict::may_have_run(failure::none, {}), request_outcome::succeeded);
}

} // namespace

second_send::~second_send()
{
    if (this->current) {
        this->current->request = nullptr;
        this->current->owner = nullptr;
        if (this->current->connection) {
            this->current->connection->close();
        }
    }
}

void second_send::start(const dispatch::placement_decision& decision, core::instant latest)
{
    auto& server = this->request.server;
    this->current =
        std::make_shared<exchange>(exchange{.request = &this->request,
                                            .owner = this,
                                            .decision = decision,
                                            .latest = latest,
                                            .request_id = this->request.metadata.id,
                                            .changed = asio::steady_timer{server.loop.context()}});
    asio::co_spawn(server.loop.context(), run(server, this->current), server.loop.log_failure("second_send"));
}

second_send_state second_send::state() const noexcept
{
    return this->current ? this->current->state : second_send_state::none;
}

bool second_send::is_active() const noexcept
{
    return this->state() == second_send_state::opening || this->state() == second_send_state::sent;
}

void second_send::end()
{
    if (this->is_active()) {
        this->finish(*this->current, second_send_state::ended, request_outcome::unknown);
    }
}

asio::awaitable<void> second_send::wait()
{
    const auto awaited = this->current;
    while (this->is_active()) {
        error_code ignored;
        awaited->changed.expires_at(core::instant::max());
        co_await awaited->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

next_attempt second_send::take()
{
    auto& sent = *this->current;
    sent.state = second_send_state::ended;
    this->request.caller.set_second_connection(nullptr);
    // It is the attempt in progress from now on, which counts when it ends.
    --this->request.possible_runs;
    return {.decision = sent.decision,
            .prepared = {.connection = std::move(sent.connection), .response = std::move(sent.response)},
            .running = sent.running};
}

asio::awaitable<void> second_send::run(relay_server& server, std::shared_ptr<exchange> sent)
{
    try {
        const bool is_open = co_await open(server, *sent);
        if (sent->request == nullptr) {
            co_return;
        }
        if (!is_open || !sent->owner->send(*sent)) {
            sent->owner->finish(*sent, second_send_state::failed, request_outcome::unknown);
            co_return;
        }
        auto result = co_await read_beginning(server, *sent, server.http_dialect);
        if (sent->request == nullptr) {
            co_return;
        }
        if (result.outcome.answered()) {
            sent->owner->win(*sent);
        } else {
            sent->owner->fail(*sent, std::move(result));
        }
    } catch (const std::exception& problem) {
        if (sent->request == nullptr) {
            co_return;
        }
        telemetry::write_error(telemetry::log_event{"attempt_exception"}
                                   .with("id", sent->request_id)
                                   .with("reason", problem.what()));
        sent->owner->fail(
            *sent,
            failed(verdict::may_have_run(failure::internal, "internal error"), request_outcome::succeeded));
    }
}

asio::awaitable<bool> second_send::open(relay_server& server, exchange& sent)
{
    const auto* endpoint = dispatch::find_endpoint(server.fleet, sent.decision.endpoint);
    if (sent.request == nullptr || endpoint == nullptr) {
        co_return false;
    }
    sent.connection = server.connections->take_idle(sent.decision.endpoint, true);
    if (sent.connection) {
        co_return true;
    }
    sent.connection = server.connections->make(sent.decision.endpoint);
    const auto connection = sent.connection;
    const auto address = endpoint->entry.address;
    const auto error = co_await connect(connection, address, connect_limit + observation_delay(server.load));
    auto* reached = dispatch::find_endpoint(server.fleet, sent.decision.endpoint);
    if (reached != nullptr && is_unreachable(error)) {
        dispatch::record_unreachable(server.fleet, *reached, event_loop::now());
    }
    co_return !error;
}

bool second_send::send(exchange& sent)
{
    auto& state = *sent.request;
    auto& server = state.server;
    const auto now = event_loop::now();
    const auto* endpoint = dispatch::find_endpoint(server.fleet, sent.decision.endpoint);
    // Everything is decided again: opening a connection may take up to 400 ms.
    if (state.caller.check_disconnected() || state.caller.is_ended() || server.load.overloaded ||
        server.shutting_down || is_crash_suspect(state)) {
        return false;
    }
    const bool same_version = endpoint != nullptr && (!state.route->resumable ||
                                                      endpoint->software_version == state.attempt_version);
    if (!same_version || !dispatch::has_room(server.fleet, *endpoint, now)) {
        ++server.counters.second_sends_without_room;
        return false;
    }
    const double limit = server.options.second_send_limit;
    if (!dispatch::has_second_send(server.second_sends, state.service, limit)) {
        ++server.counters.second_sends_over_limit;
        return false;
    }
    if (!take_repeat(state, now)) {
        ++server.counters.second_sends_over_budget;
        return false;
    }
    if (!dispatch::try_take_second_send(server.second_sends, state.service, limit) ||
        !dispatch::try_take_send(server.fleet, *endpoint, now)) {
        return false;
    }
    auto recorded = record_send(state, sent.decision, now);
    sent.running = recorded.running;
    sent.was_sent = true;
    sent.state = second_send_state::sent;
    ++state.possible_runs;
    ++server.counters.second_sends;
    state.caller.set_second_connection(sent.connection);
    start_sending(sent.connection,
                  format_request_head(state, *endpoint, recorded.prefix_source, now),
                  state.caller.request_body());
    return true;
}

asio::awaitable<attempt_result>
second_send::read_beginning(relay_server& server, exchange& sent, const dialect& http_dialect)
{
    const auto connection = sent.connection;
    connection->timed_out = false;
    connection->expires = sent.latest;
    std::unique_ptr<head_parser> head;
    const auto end = co_await read_head(connection,
                                        http_dialect,
                                        sent.request_id,
                                        sent.request->caller.expects_no_body(),
                                        head,
                                        server.counters.mismatched_responses);
    if (sent.request == nullptr) {
        co_return ended_result();
    }
    if (end != read_result::complete) {
        co_return incomplete_response(*sent.request, *connection, end);
    }
    const auto metadata = record_response_head(server, connection->endpoint, head->get());
    if (metadata.not_run) {
        co_return co_await read_refusal(sent, std::move(head));
    }
    if (!is_valid_begin(metadata, head->get())) {
        buffered_response answer;
        answer.status = head->get().result_int();
        co_return classify_failure(metadata, std::move(answer));
    }
    if (sent.request->route->kind == catalog::route_kind::stream &&
        is_event_stream(*sent.request, head->get())) {
        co_return co_await read_first_event(sent, std::move(head));
    }
    sent.response.head = std::move(head);
    co_return attempt_result{.outcome = verdict::ran()};
}

asio::awaitable<attempt_result> second_send::read_refusal(exchange& sent, std::unique_ptr<head_parser> head)
{
    const auto connection = sent.connection;
    buffered_parser parser{std::move(*head)};
    const auto end = co_await read_body(connection, parser);
    if (sent.request == nullptr) {
        co_return ended_result();
    }
    if (end != read_result::complete) {
        co_return incomplete_response(*sent.request, *connection, end);
    }
    if (search_buffered(*sent.request, *connection, parser, true) == further_response::answer) {
        co_return failed(
            verdict::may_have_run(failure::garbled_answer, "an answer to the request follows its refusal"),
            request_outcome::failed);
    }
    co_return failed(verdict::not_run(failure::endpoint_refused, "the endpoint refused the request"),
                     request_outcome::refused);
}

asio::awaitable<attempt_result> second_send::read_first_event(exchange& sent,
                                                              std::unique_ptr<head_parser> head)
{
    const auto connection = sent.connection;
    sent.response.stream = make_streaming_parser(std::move(*head));
    auto scanner = scanner_for_next_attempt(*sent.request);
    const auto events_before = scanner ? scanner->progress.tokens : 0;
    std::string piece;
    while (scanner && scanner->progress.tokens == events_before) {
        const auto end = co_await read_body_chunk(connection, *sent.response.stream, piece);
        if (sent.request == nullptr) {
            co_return ended_result();
        }
        if (end != read_result::complete) {
            co_return incomplete_response(*sent.request, *connection, end);
        }
        if (piece.empty()) {
            break;
        }
        sent.response.events += piece;
        if (!connection->received.resize(sent.response.events.size())) {
            co_return incomplete_response(*sent.request, *connection, read_result::no_room);
        }
        if (traffic::feed(*scanner, piece) != traffic::scan_fault::none) {
            co_return failed(verdict::may_have_run(failure::garbled_answer,
                                                   "the stream's events are malformed or out of order"),
                             request_outcome::failed);
        }
    }
    if (!scanner || scanner->progress.tokens == events_before) {
        co_return failed(
            verdict::may_have_run(failure::connection_broken, "the stream ended before its first event"),
            request_outcome::failed);
    }
    co_return attempt_result{.outcome = verdict::ran()};
}

void second_send::win(exchange& sent)
{
    sent.state = second_send_state::won;
    ++this->request.server.counters.second_sends_won;
    this->request.caller.cancel_first();
    sent.changed.cancel();
}

void second_send::fail(exchange& sent, attempt_result result)
{
    auto& state = this->request;
    auto& server = state.server;
    const bool cancelled = state.withdrawn || state.caller.is_ended() || state.caller.is_disconnected();
    const bool broke = result.outcome.reason == failure::connection_broken;
    const bool unreadable = result.outcome.reason == failure::garbled_answer;
    const auto* endpoint = dispatch::find_endpoint(server.fleet, sent.decision.endpoint);
    if (!cancelled && sent.was_sent && endpoint != nullptr && (broke || unreadable)) {
        state.broken_starts += broke ? 1 : 0;
        check_for_crash(state, *endpoint, answer_state::waiting, !unreadable);
    }
    telemetry::write(telemetry::log_event{"second_send_failed"}
                         .with("id", sent.request_id)
                         .with("endpoint", endpoint_id(server, sent.decision.endpoint))
                         .with("reason", result.outcome.detail));
    if (result.outcome.state == run_state::not_run && sent.was_sent) {
        --state.possible_runs;
    }
    this->failed_with = std::move(result.outcome);
    this->finish(sent, second_send_state::failed, cancelled ? request_outcome::unknown : result.sign);
}

void second_send::finish(exchange& sent, second_send_state state, dispatch::request_outcome sign)
{
    auto& server = this->request.server;
    sent.state = state;
    sent.request = nullptr;
    if (sent.connection) {
        sent.connection->close();
    }
    if (sent.was_sent) {
        ++server.counters.second_sends_lost;
        server.crashes->waiting.erase(sent.running.ticket);
        dispatch::record_end(server.fleet, sent.running, sign, event_loop::now());
        this->request.caller.set_second_connection(nullptr);
    }
    sent.changed.cancel();
}

} // namespace hibiscusfall::relay::detail
