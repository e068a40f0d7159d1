#include "request_handler.hpp"

#include "attempt.hpp"
#include "attempt_wait.hpp"
#include "crash_refusal.hpp"
#include "crash_watch.hpp"
#include "refusal.hpp"
#include "request_log.hpp"
#include "request_rules.hpp"
#include "request_target.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

namespace hibiscusfall::relay::detail
{

namespace
{

using core::failure;
using core::run_state;
using core::verdict;
using std::chrono::milliseconds;

/// Retry-After while the store cannot be read: most outages of a single call are shorter.
constexpr core::duration store_wait = std::chrono::seconds{1};

/// @brief Handles one request from its arrival to the final response.
class request_handler
{
public:
    request_handler(relay_server& parent, caller_session& from, caller_request& read)
        : server(parent), caller(from), state{.server = parent, .caller = from, .request = read}, wait(state)
    {
    }

    asio::awaitable<void> run()
    {
        ++this->server.counters.requests;
        this->state.arrived = event_loop::now();
        this->state.metadata = this->server.http_dialect.read_request(this->state.request.base());
        this->state.table = this->server.table;
        this->state.deadline =
            this->state.arrived + this->state.metadata.time_left.value_or(default_time_left);
        if (const auto problem = this->resolve()) {
            co_await this->refuse(*problem);
        } else {
            this->prepare();
            co_await this->find_version();
            if (is_take_up(this->state) && this->state.software_version.empty()) {
                co_await this->refuse_take_up();
            } else {
                co_await this->serve();
            }
        }
        this->log.second_send = this->wait.second_outcome();
        log_request(this->state, this->log);
    }

private:
    /// Finds route and team. Returns a refusal if the request cannot be accepted.
    std::optional<refusal> resolve()
    {
        const auto& request = this->state.request;
        this->target = find_target(this->server,
                                   this->state.table.get(),
                                   to_view(request[http::field::host]),
                                   to_view(request.target()),
                                   this->state.metadata);
        this->state.route = this->target.route;
        this->state.team = this->target.team;
        if (this->target.problem) {
            return this->target.problem;
        }
        this->state.team_tag = this->target.team_tag;
        this->state.service = this->target.service;
        this->state.draw = this->target.draw;
        if (const auto* cause = find_crash_cause(this->state)) {
            return this->reject_for(*cause);
        }
        auto refused = refuse_at_instance(this->server, pending(this->state), this->state.arrived);
        if (refused && refused->code == overloaded_code) {
            this->caller.close_after_answer();
        }
        return refused;
    }

    /// Refusal of a request to which crashes are attributed.
    refusal reject_for(const dispatch::crash_cause& cause)
    {
        ++this->server.counters.refused_crash_cause;
        return crash_refusal(this->server.fleet.crashes, cause, traits_of(this->state), event_loop::now());
    }

    /// Handles an attempt that was ended because this instance ends: nothing is known of its endpoint.
    static void record_ended_attempt(attempt_result& end)
    {
        end.sign = dispatch::request_outcome::succeeded;
        end.outcome.reason = failure::shutting_down;
        end.outcome.detail = "this instance ended before the endpoint answered";
    }

    void prepare()
    {
        const auto& route = *this->state.route;
        this->state.timeout_at = latest_response_time(this->state);
        if (this->state.metadata.time_left) {
            this->state.waited =
                dispatch::record_caller(this->server.waits, route.name, *this->state.metadata.time_left);
        }
        if (auto& generation = this->state.metadata.generation) {
            estimate_output(this->server, route, *generation);
            const double cost = dispatch::share_cost(*this->state.metadata.generation);
            dispatch::record_requested(this->server.fleet.shares, this->state.team_tag, cost);
            this->server.activity.teams[this->state.team_tag].first += cost;
        }
        dispatch::record_request(
            this->server.budgets[this->state.service], this->server.options.retries, this->state.arrived);
        if (this->server.options.second_send_limit > 0) {
            dispatch::record_request(
                this->server.second_sends, this->state.service, this->server.options.second_send_limit);
        }
    }

    /// Finds the software version at which a stream began that the caller takes up.
    asio::awaitable<void> find_version()
    {
        if (!is_take_up(this->state)) {
            co_return;
        }
        this->caller.watch_for_disconnect();
        const auto& service = this->state.service;
        const auto stream = stream_of(this->state);
        const auto now = event_loop::now();
        if (const auto* known = dispatch::find_origin(this->server.origins, stream, now)) {
            this->origin = {.state = origin_state::known,
                            .version = known->version,
                            .recorded = true,
                            .moves = known->moves};
        } else if (this->server.find_origin) {
            auto search = this->server.find_origin(service, stream);
            this->origin = co_await std::move(search);
        } else {
            this->origin = this->server.origin_without_store(service);
        }
        if (this->origin.state == origin_state::known) {
            this->state.software_version = this->origin.version;
        }
        this->state.is_known_stream = this->origin.recorded;
        if (this->origin.recorded) {
            dispatch::record_origin(this->server.origins,
                                    {.stream = stream,
                                     .service = service,
                                     .version = this->origin.version,
                                     .expires = this->state.deadline,
                                     .moves = this->origin.moves},
                                    event_loop::now());
        }
    }

    /// Refuses to take a stream up of which it is not known where it began.
    asio::awaitable<void> refuse_take_up()
    {
        ++this->server.counters.refused_take_ups;
        const bool unavailable = this->origin.state == origin_state::unavailable;
        const auto left = core::elapsed(event_loop::now(), this->state.deadline);
        const refusal answer{
            .status = 503,
            .code = to_string(failure::origin_unknown),
            .detail = unavailable ? "the store cannot be read for the software version at which the "
                                    "stream began"
                                  : "the software version at which the stream began is not known",
            .retry_after = unavailable ? std::min(left / retry_after_divisor, store_wait) : left};
        co_await this->refuse(answer);
    }

    void log_decision(const dispatch::placement_decision& decision)
    {
        this->log.expected = decision.expected_first_token;
        this->log.read_again = decision.reread_tokens;
        this->log.considered = decision.evaluated;
        this->log.within_share = decision.within_share;
    }

    /// Handles an attempt that broke: the endpoint may have crashed because of it.
    void check_broken_attempt(attempt_result& end, const dispatch::running_request& running)
    {
        if (this->state.withdrawn) {
            ++this->server.counters.withdrawn_attempts;
            end.sign = dispatch::request_outcome::succeeded;
            if (end.outcome.state == run_state::may_have_run) {
                end.outcome = verdict::may_have_run(failure::crashes_endpoints,
                                                    "withdrawn from an endpoint that it may crash");
            }
            return;
        }
        const auto* endpoint = dispatch::find_endpoint(this->server.fleet, running.endpoint);
        const bool broke = end.outcome.reason == failure::connection_broken;
        const bool unreadable = end.outcome.reason == failure::garbled_answer;
        // An endpoint that has announced its end breaks off what is still in progress.
        const bool left = running.first_event_seen &&
                          dispatch::is_departing(this->server.fleet.announced_departures, running.endpoint);
        if (endpoint != nullptr && !left && (broke || unreadable || end.ends_with_connection)) {
            this->state.broken_starts += broke && !running.first_event_seen ? 1 : 0;
            const bool ran = end.outcome.state == run_state::ran;
            check_for_crash(this->state,
                            *endpoint,
                            ran                        ? answer_state::delivered
                            : running.first_event_seen ? answer_state::begun
                                                       : answer_state::waiting,
                            !unreadable);
        }
    }

    /// Whether the request may be retried after a failed attempt.
    bool may_retry(const attempt_result& end, core::instant now)
    {
        const auto& route = *this->state.route;
        if (end.delivered || end.caller_disconnected ||
            !end.outcome.may_retry_elsewhere(route.repeatable()) || !allows_another(this->state, now)) {
            return false;
        }
        if (end.outcome.state != run_state::not_run && this->state.possible_runs >= route.max_attempts) {
            return false;
        }
        if (may_crash_another(this->state, end)) {
            ++this->server.counters.retries_withheld;
            return false;
        }
        if (end.unsent) {
            return true;
        }
        return take_repeat(this->state, now);
    }

    /// Makes an attempt. An exception becomes its result, so that all records of the attempt end with it.
    asio::awaitable<attempt_result>
    attempt(dispatch::running_request& running, attempt_limits limits, prepared_attempt prepared)
    {
        try {
            co_return co_await run_attempt(this->state, running, std::move(limits), std::move(prepared));
        } catch (const std::exception& problem) {
            telemetry::write_error(telemetry::log_event{"attempt_exception"}
                                       .with("id", this->state.metadata.id)
                                       .with("reason", problem.what()));
            this->caller.cancel_attempt();
            co_return attempt_result{.outcome = verdict::may_have_run(failure::internal, "internal error"),
                                     .sign = dispatch::request_outcome::succeeded};
        }
    }

    asio::awaitable<void> serve()
    {
        attempt_result last;
        last.outcome = verdict::not_run(failure::none, {});
        std::optional<next_attempt> next;
        while (true) {
            auto now = event_loop::now();
            const auto decision = next ? next->decision : place(this->state, this->state.tried, now);
            this->log_decision(decision);
            if (!decision.placed) {
                co_await this->finish(last, decision);
                co_return;
            }
            this->caller.watch_for_disconnect();
            auto running = next && next->running ? *next->running : this->begin(decision, now);
            this->log.endpoint = endpoint_id(this->server, decision.endpoint);
            auto limits = this->wait.begin(decision, running, now);
            auto prepared = next ? std::move(next->prepared) : prepared_attempt{};
            auto end = co_await this->attempt(running, std::move(limits), std::move(prepared));
            now = event_loop::now();
            this->server.crashes->waiting.erase(running.ticket);
            if (this->caller.is_ended()) {
                record_ended_attempt(end);
            } else if (!this->wait.apply_second_answer(end)) {
                this->check_broken_attempt(end, running);
            }
            next = this->wait.take_successor(end);
            this->wait.record_time(end, now);
            dispatch::record_end(this->server.fleet, running, end.sign, now);
            this->log.reused_connection = end.reused_connection;
            this->log.ends_with_connection = end.ends_with_connection;
            if (end.timed_out || end.outcome.reason == failure::connection_broken ||
                end.outcome.reason == failure::garbled_answer) {
                log_cut_attempt(this->state, this->log, running, end);
            }
            this->record_output_length(end);
            this->record_timeliness();
            if (end.outcome.state != run_state::not_run) {
                ++this->state.possible_runs;
            }
            if (last.outcome.state == run_state::may_have_run && end.outcome.state == run_state::not_run) {
                end.outcome = last.outcome; // an earlier attempt may have run
            }
            last = std::move(end);
            if (!next) {
                next = co_await this->wait.take_second(last);
                now = event_loop::now();
            }
            if (next) {
                continue;
            }
            const bool may_follow = !shutdown_forbids_retry(this->state, now);
            if (!may_follow && last.outcome.state == run_state::not_run) {
                last.outcome.reason = failure::shutting_down;
            }
            if (!may_follow || !this->may_retry(last, now)) {
                co_await this->finish(last, decision);
                co_return;
            }
        }
    }

    /// Records that the next attempt is sent.
    dispatch::running_request begin(const dispatch::placement_decision& decision, core::instant now)
    {
        auto recorded = record_send(this->state, decision, now);
        this->state.prefix_source = recorded.prefix_source;
        return recorded.running;
    }

    void record_output_length(const attempt_result& end)
    {
        const auto& generation = this->state.metadata.generation;
        if (!generation || !end.delivered || !this->state.metadata.last_event_id.empty()) {
            return;
        }
        const auto* engine = catalog::find_engine(*this->state.table, this->state.service);
        const auto per_event = engine == nullptr ? 1U : engine->tokens_per_event;
        dispatch::record_output(this->server.lengths,
                                this->state.route->name,
                                generation->max_output_tokens,
                                this->state.delivered.tokens * per_event);
    }

    /// Counts a started stream as on time or late. The ratio controls the capacity for teams beyond their
    /// shares.
    void record_timeliness()
    {
        const auto& route = *this->state.route;
        if (!this->state.metadata.generation || this->state.first_event == core::duration::zero()) {
            return;
        }
        const bool paused = route.event_gap_target > core::duration::zero() &&
                            this->state.longest_pause > route.event_gap_target;
        dispatch::record_stream(this->server.spare, paused || this->state.first_event > route.latency_target);
    }

    /// Sends the final response to the caller.
    asio::awaitable<void> finish(attempt_result& last, const dispatch::placement_decision& decision)
    {
        this->log.detail = last.outcome.detail;
        if (last.delivered) {
            ++this->server.counters.answered;
            this->log.outcome = "answered";
            this->log.status = 200;
            co_return;
        }
        if (last.caller_disconnected || this->caller.is_disconnected()) {
            ++this->server.counters.caller_disconnects;
            this->log.outcome = "caller_gone";
            co_return;
        }
        if (this->state.head_sent) {
            // The response has started: only its missing end tells the caller that it is incomplete.
            ++this->server.counters.broken_streams;
            this->log.outcome = "broken";
            this->caller.close_after_answer();
            co_return;
        }
        if (last.answer) {
            this->log.outcome = "endpoint_failure";
            this->log.status = last.answer->status;
            ++this->server.counters.answered;
            co_await send_response(this->state, *last.answer);
            co_return;
        }
        if (last.outcome.state == run_state::not_run) {
            if (last.outcome.reason == failure::shutting_down) {
                const auto answer = shutdown_refusal();
                co_await this->refuse(answer);
                co_return;
            }
            co_await this->refuse_not_run(last, decision);
            co_return;
        }
        ++this->server.counters.failed;
        const bool late = last.timed_out || event_loop::now() >= this->state.timeout_at;
        const refusal answer{.status = late ? 504U : 502U,
                             .code = to_string(last.outcome.reason),
                             .detail = last.outcome.detail};
        co_await this->refuse(answer);
    }

    asio::awaitable<void> refuse_not_run(const attempt_result& last,
                                         const dispatch::placement_decision& decision)
    {
        if (const auto* cause = find_crash_cause(this->state)) {
            const auto answer = this->reject_for(*cause);
            co_await this->refuse(answer);
            co_return;
        }
        if (!decision.within_share) {
            ++this->server.counters.refused_over_share;
        }
        const auto left = core::elapsed(event_loop::now(), this->state.deadline);
        auto answer = placement_refusal(decision, left);
        if (decision.placed) {
            answer.code = to_string(last.outcome.reason);
        }
        const bool no_endpoint =
            (decision.placed ? last.outcome.reason : decision.reason) == failure::no_endpoint;
        if (no_endpoint) {
            answer.detail = no_endpoint_detail;
        } else if (decision.placed || !last.outcome.detail.empty()) {
            answer.detail = last.outcome.detail;
        }
        const bool version_gone =
            !decision.placed && !this->state.software_version.empty() &&
            !dispatch::has_version(this->server.fleet, this->state.service, this->state.software_version);
        if (version_gone) {
            ++this->server.counters.refused_take_ups;
            answer.status = 503;
            answer.detail = "no endpoint runs the software version at which the stream began";
            answer.retry_after = left;
        }
        co_await this->refuse(answer);
    }

    asio::awaitable<void> refuse(const refusal& answer)
    {
        if (answer.status == 503 || answer.status == 429) {
            ++this->server.counters.refused;
            this->log.outcome = "refused";
        } else if (answer.status >= 500) {
            this->log.outcome = "failed";
        } else {
            ++this->server.counters.rejected;
            this->log.outcome = "rejected";
        }
        this->log.status = answer.status;
        this->log.detail = answer.detail;
        co_await send_refusal(this->server, this->caller, this->state.metadata.id, answer);
    }

    relay_server& server;
    caller_session& caller;
    request_state state;
    request_target target;
    request_log log;
    origin_reading origin{}; ///< Of a stream that the caller takes up.
    attempt_wait wait;
};

} // namespace

asio::awaitable<void> handle_request(relay_server& server, caller_session& caller, caller_request& request)
{
    request_handler run{server, caller, request};
    co_await run.run();
}

} // namespace hibiscusfall::relay::detail
