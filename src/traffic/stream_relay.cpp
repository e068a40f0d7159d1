#include "answer_relay.hpp"
#include "endpoint_race.hpp"
#include "stream_move.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"
#include "hibiscusfall/traffic/event_scanner.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace hibiscusfall::traffic::detail
{

namespace
{

using core::failure;
using core::verdict;
using clock = std::chrono::steady_clock;

constexpr core::duration first_resume_pause = std::chrono::milliseconds{20};

/// One stream on its way from an engine to the caller.
class stream_relay
{
public:
    stream_relay(relay_context& given, candidate& from) : context(given), source(from) {}

    verdict run();

private:
    bool take_pieces();
    bool take(std::string_view piece);
    bool pass_on(std::string_view events);
    bool write_head();
    [[nodiscard]] bool end_is_proper() const;
    bool finish();
    bool resume();
    bool resume_once();
    bool move();
    [[nodiscard]] bool is_resumable() const;
    [[nodiscard]] std::uint32_t tries_here() const;
    void report_progress(core::instant now);
    bool fail(verdict reason);
    bool lose_caller();

    relay_context& context;
    candidate& source;
    event_scanner scanner;
    verdict outcome;
    std::uint32_t tries = 0; ///< Resumes since the last event that was passed on.
    bool numbered = true;    ///< Whether the events' ids are numbers, as a resume needs them.
    bool caller_lost = false;
    core::instant last_piece{};
    core::instant last_report{};
};

verdict stream_relay::run()
{
    this->last_piece = clock::now();
    const auto& head = this->source.exchange->head();
    this->context.kept = {.status = static_cast<std::uint16_t>(head.result_int()),
                          .content_type = std::string{head[http::field::content_type]},
                          .body = {},
                          .complete = true};
    bool whole = this->take_pieces();
    while (!whole && this->resume()) {
        whole = this->take_pieces();
    }
    this->context.totals.tokens = this->scanner.progress.tokens;
    if (whole && this->finish()) {
        this->outcome = verdict::ran();
    }
    const bool answered = this->outcome.answered();
    this->context.kept.complete = this->context.kept.complete && answered;
    this->context.totals.cost = answered ? this->context.cost_of(this->scanner.progress.tokens) : 0;
    if (this->outcome.reason == failure::caller_gone || this->outcome.reason == failure::shutting_down) {
        cancel_run(this->context, this->source);
    } else {
        if (auto kept = this->source.exchange->take_clean_connection()) {
            this->context.state.pool.put(this->source.endpoint.address, std::move(kept), clock::now());
        }
        this->source.slot.release(make_usage(this->context, this->source, answered, this->last_piece));
    }
    return this->outcome;
}

/// Passes pieces on until the end of the stream.
/// @returns Whether the end was proper; otherwise the reason is in outcome.
bool stream_relay::take_pieces()
{
    while (true) {
        auto& exchange = *this->source.exchange;
        const auto ended = wait_for_piece(this->context, exchange);
        if (ended != piece_wait::here) {
            return this->fail(describe(ended, this->source.endpoint));
        }
        const auto piece = exchange.next_piece();
        if (!piece) {
            return this->fail(exchange.last_failure());
        }
        if (piece->empty()) {
            return this->end_is_proper() ||
                   this->fail(verdict::may_have_run(failure::connection_broken,
                                                    "endpoint " + this->source.endpoint.id.str() +
                                                        " ended its stream early"));
        }
        if (!this->take(*piece)) {
            return false;
        }
    }
}

bool stream_relay::take(std::string_view piece)
{
    const auto now = clock::now();
    this->last_piece = now;
    if (!this->context.totals.first_byte) {
        this->context.totals.first_byte = now;
    }
    if (!this->source.first_byte) {
        this->source.first_byte = now;
    }
    const auto fault = feed(this->scanner, piece);
    if (!this->scanner.ready.empty()) {
        if (!this->pass_on(this->scanner.ready)) {
            return this->lose_caller();
        }
        this->tries = 0;
    }
    if (fault != scan_fault::none) {
        return this->fail(verdict::may_have_run(failure::garbled_answer,
                                                "endpoint " + this->source.endpoint.id.str() +
                                                    " sent a stream that is not proper"));
    }
    this->report_progress(now);
    return true;
}

/// Writes events to the caller; a caller that is gone does not matter to a claimed request.
bool stream_relay::pass_on(std::string_view events)
{
    auto& kept = this->context.kept;
    if (this->context.claimed && kept.complete) {
        kept.complete = kept.body.size() + events.size() <= this->context.state.options.kept_answer_bytes;
        kept.body.append(kept.complete ? events : std::string_view{});
    }
    this->context.totals.bytes += events.size();
    if (this->caller_lost) {
        return true;
    }
    const auto timeout = this->context.state.options.caller_timeout;
    const auto chunk = http::make_chunk(asio::buffer(events.data(), events.size()));
    this->caller_lost = !this->write_head() || this->context.caller.write_raw(chunk, timeout).failed();
    return !this->caller_lost || !this->context.may_abandon();
}

bool stream_relay::write_head()
{
    if (std::exchange(this->context.relayed, true)) {
        return true;
    }
    const auto& head = this->source.exchange->head();
    http::response<http::empty_body> answer{head.result(), 11};
    answer.set(http::field::content_type, head[http::field::content_type]);
    answer.set("Hibiscusfall-Request", this->context.id);
    answer.chunked(true);
    answer.keep_alive(this->context.keep_alive());
    http::response_serializer<http::empty_body> serializer{answer};
    return !this->context.caller.write_header(serializer, this->context.state.options.caller_timeout);
}

bool stream_relay::end_is_proper() const
{
    const bool is_model = this->context.plan.service->kind == configuration::service_kind::model;
    return this->scanner.partial.empty() && (this->scanner.progress.ended || !is_model);
}

/// Writes the final chunk.
bool stream_relay::finish()
{
    this->context.settle_claim(verdict::ran());
    if (this->caller_lost) {
        return true;
    }
    const auto timeout = this->context.state.options.caller_timeout;
    if (!this->write_head() || this->context.caller.write_raw(http::make_chunk_last(), timeout)) {
        return this->context.claimed || this->lose_caller();
    }
    return true;
}

bool stream_relay::is_resumable() const
{
    const auto& service = *this->context.plan.service;
    const auto reason = this->outcome.reason;
    return service.kind == configuration::service_kind::model && service.repeatable &&
           (reason == failure::connection_broken || reason == failure::garbled_answer) &&
           this->scanner.progress.last_id && this->numbered && !this->scanner.progress.ended;
}

/// How often the engine is asked to go on, without a new event, before the stream leaves it.
std::uint32_t stream_relay::tries_here() const
{
    const auto& options = this->context.state.options;
    const bool may_leave = this->context.plan.service->resume_elsewhere && endpoints_left(this->context);
    return may_leave ? options.resumes_before_move : options.resumes;
}

/// Asks the engine to go on after the last event, several times if need be, then others.
bool stream_relay::resume()
{
    while (this->is_resumable()) {
        if (this->tries < this->tries_here()) {
            std::this_thread::sleep_for(first_resume_pause * (1U << this->tries));
        } else if (!this->move()) {
            return false;
        }
        ++this->tries;
        if (this->context.state.phase == closing_phase::cutting ||
            (this->context.may_abandon() && this->context.caller.peer_closed())) {
            return this->lose_caller();
        }
        if (this->resume_once()) {
            return true;
        }
    }
    return false;
}

/// Leaves the engine for another one.
bool stream_relay::move()
{
    this->context.totals.tokens = this->scanner.progress.tokens;
    const auto moved = move_stream(this->context, this->source);
    if (moved.answered()) {
        this->tries = 0;
        return true;
    }
    const bool ended = moved.reason == failure::caller_gone || moved.reason == failure::shutting_down;
    this->outcome.reason = ended ? moved.reason : this->outcome.reason;
    this->outcome.detail += "; " + moved.detail;
    return false;
}

bool stream_relay::resume_once()
{
    auto continued = continue_after(this->scanner.progress);
    if (!continued) {
        this->numbered = false;
        return false;
    }
    this->scanner = std::move(*continued);
    ++this->context.totals.resumes;
    ++this->context.state.counters.resumes;
    telemetry::write(telemetry::log_event{"stream_resumed"}
                         .with("request", this->context.id)
                         .with("endpoint", this->source.endpoint.id.view())
                         .with("after", *this->scanner.progress.last_id)
                         .with("reason", core::to_string(this->outcome.reason)));
    auto request = make_endpoint_request(this->context, this->source.endpoint.address);
    request.set("Last-Event-ID", *this->scanner.progress.last_id);
    auto next = std::make_unique<endpoint_exchange>(make_times(this->context.state.options));
    if (!next->send(this->source.endpoint.address, request, nullptr).answered()) {
        return false;
    }
    this->source.exchange = std::move(next);
    auto progress = answer_progress::waiting;
    while (progress == answer_progress::waiting) {
        const auto ended = wait_for_piece(this->context, *this->source.exchange);
        if (ended != piece_wait::here) {
            return this->fail(describe(ended, this->source.endpoint));
        }
        progress = this->source.exchange->advance();
    }
    if (progress == answer_progress::failed) {
        return false;
    }
    const auto& head = this->source.exchange->head();
    const bool continues = head.result() == http::status::ok &&
                           to_view(head[http::field::content_type]).starts_with("text/event-stream");
    if (!continues) {
        // The engine does not know the stream any more.
        this->tries = this->context.state.options.resumes;
    }
    return continues;
}

void stream_relay::report_progress(core::instant now)
{
    if (now - this->last_report >= this->context.state.options.progress_interval) {
        this->last_report = now;
        const auto first_token = core::elapsed(this->source.sent, *this->source.first_byte);
        this->context.state.ports.progress(this->source.slot.granted().ticket,
                                           {.cost = this->context.cost_of(this->scanner.progress.tokens),
                                            .first_token = std::max(first_token, core::duration::zero())});
    }
}

bool stream_relay::fail(verdict reason)
{
    this->outcome = std::move(reason);
    return false;
}

bool stream_relay::lose_caller()
{
    const bool cutting = this->context.state.phase == closing_phase::cutting;
    return this->fail(
        describe(cutting ? piece_wait::cutting : piece_wait::caller_gone, this->source.endpoint));
}

} // namespace

verdict relay_stream(relay_context& context, candidate& source)
{
    return stream_relay(context, source).run();
}

core::slot_usage
make_usage(const relay_context& context, const candidate& source, bool answered, core::instant last_piece)
{
    core::slot_usage usage{.answered = answered, .cost = context.totals.cost, .endpoint_failed = !answered};
    const auto& first = source.first_byte;
    if (first) {
        usage.first_token = std::max(core::elapsed(source.sent, *first), core::duration::zero());
        const auto tokens = context.totals.tokens - source.tokens_before;
        if (tokens > 1 && last_piece > *first) {
            const auto gaps = static_cast<core::duration::rep>(tokens - 1);
            usage.between_tokens = core::elapsed(*first, last_piece) / gaps;
        }
    }
    return usage;
}

} // namespace hibiscusfall::traffic::detail
