#include "attempt_wait.hpp"

#include "crash_watch.hpp"
#include "endpoint_checks.hpp"
#include "request_rules.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusfall::relay::detail
{

using core::failure;
using core::run_state;
using core::verdict;
using std::chrono::milliseconds;

namespace
{

/// A retryable attempt is abandoned after this multiple of the expected time to first token, plus a slack.
constexpr int first_token_factor = 2;
constexpr core::duration first_token_slack = milliseconds{250};
/// Share of the remaining time that one attempt at a plain service may use if another can follow.
constexpr int plain_attempt_percent = 55;
/// Interval at which a successor is looked for again while there is none, or the budget denies it.
constexpr core::duration successor_interval = milliseconds{200};
/// Interval at which it is decided again whether an attempt may be moved at all.
constexpr core::duration move_interval = std::chrono::seconds{1};
/// Time between two searches of an instance for successors.
constexpr core::duration successor_spacing = milliseconds{20};

} // namespace

attempt_limits attempt_wait::begin(const dispatch::placement_decision& decision,
                                   const dispatch::running_request& sent,
                                   core::instant now)
{
    this->running = &sent;
    this->move_from = this->latest_start(decision, now);
    this->is_first = this->state.attempts == 1;
    this->claimed = false;
    const auto first_decision = this->decide_second(now);
    const auto start = first_decision.step == dispatch::second_send_step::wait
                           ? std::min(first_decision.until, this->move_from)
                           : this->move_from;
    return {.start = start,
            .extend = [this](core::instant at) { return this->extend(at); },
            .claim = [this] { return this->claim(); }};
}

core::instant attempt_wait::latest_start(const dispatch::placement_decision& decision,
                                         core::instant now) const
{
    const auto last = latest_attempt_end(this->state);
    const auto& route = *this->state.route;
    const bool another = route.repeatable() && this->state.possible_runs + 1 < route.max_attempts;
    if (!another) {
        return last;
    }
    if (this->state.metadata.generation) {
        return std::min(last,
                        now + std::max(decision.expected_first_token * first_token_factor + first_token_slack,
                                       route.latency_target));
    }
    return std::min(last, now + core::elapsed(now, last) * plain_attempt_percent / 100);
}

bool attempt_wait::may_move(core::instant now)
{
    const auto& route = *this->state.route;
    return route.repeatable() && this->state.possible_runs + 1 < route.max_attempts &&
           allows_another(this->state, now) && !shutdown_forbids_retry(this->state, now) &&
           !this->state.withdrawn && this->state.broken_starts <= 1 &&
           find_crash_cause(this->state) == nullptr;
}

/// What to do about the pause of a stream that has begun.
dispatch::wait_decision attempt_wait::check_pause(core::instant now)
{
    auto& server = this->state.server;
    const auto* endpoint = dispatch::find_endpoint(server.fleet, this->running->endpoint);
    if (endpoint == nullptr) {
        return {.step = dispatch::wait_step::move};
    }
    const auto& route = *this->state.route;
    const auto decision = dispatch::decide(
        {.silent_since = this->state.progress_at,
         .last_received = endpoint->last_received,
         .caller_patience = dispatch::caller_patience(route.latency_target, route.event_gap_target),
         .check = server.checks->result(*endpoint, now)},
        now);
    if (decision.step == dispatch::wait_step::check_endpoint) {
        server.checks->start(*endpoint);
    }
    return decision;
}

/// Decides whether an attempt that has waited long waits on. It is given up only for another one that can
/// be sent at once.
/// @returns When to decide again; @p now to give the attempt up.
core::instant attempt_wait::extend(core::instant now)
{
    const auto end = latest_attempt_end(this->state);
    if (now >= end) {
        return now;
    }
    const auto second_at = this->consider_second(now);
    if (this->second.is_active()) {
        return std::min(end, now + successor_interval); // it is the successor
    }
    if (!this->running->first_event_seen && now < this->move_from) {
        return std::min({end, this->move_from, second_at});
    }
    if (!this->may_move(now)) {
        return std::min(end, now + move_interval);
    }
    if (this->running->first_event_seen) {
        const auto pause = this->check_pause(now);
        if (pause.step != dispatch::wait_step::move) {
            this->next.cancel();
            return std::min(end, std::max(pause.until, now + min_attempt_time));
        }
    }
    const auto soon = std::min(end, now + min_attempt_time);
    const auto later = std::min(end, now + successor_interval);
    if (this->next.is_active()) {
        if (!this->next.check_ready(now)) {
            return soon;
        }
        this->moves = take_repeat(this->state, now);
        if (!this->moves) {
            this->next.cancel();
        }
        return this->moves ? now : later;
    }
    auto& server = this->state.server;
    auto& budget = server.budgets[this->state.service];
    if (!dispatch::has_repeat(budget, server.options.retries, server.instance_count, now)) {
        return later;
    }
    // One at a time, so that each placement counts those before it.
    if (now - server.last_successor_search < successor_spacing) {
        return soon;
    }
    const auto decision = place(this->state, this->state.tried, now);
    if (!decision.placed) {
        return later;
    }
    if (!this->is_answering(decision.endpoint, now)) {
        return soon;
    }
    server.last_successor_search = now;
    this->next.start(decision);
    return soon;
}

/// Whether something has arrived from an endpoint lately. If nothing has, it is asked.
bool attempt_wait::is_answering(dispatch::endpoint_tag tag, core::instant now)
{
    auto& server = this->state.server;
    const auto* endpoint = dispatch::find_endpoint(server.fleet, tag);
    if (endpoint == nullptr || dispatch::is_suspended(endpoint->health, now) ||
        !dispatch::is_reachable(server.fleet, endpoint->entry.domain, now)) {
        return false;
    }
    if (now - endpoint->last_received <= dispatch::pause_before_check) {
        return true;
    }
    server.checks->start(*endpoint);
    return false;
}

dispatch::second_send_decision attempt_wait::decide_second(core::instant now)
{
    const auto& server = this->state.server;
    const double limit = server.options.second_send_limit;
    if (limit <= 0 || this->second_decided) {
        return {};
    }
    const auto& route = *this->state.route;
    return dispatch::decide(server.second_sends,
                            this->state.service,
                            route.name,
                            limit,
                            {.sent_at = this->running->sent_at,
                             .is_first = this->is_first,
                             .repeatable = route.repeatable(),
                             .begun = this->claimed || this->state.head_sent,
                             .suspected = is_crash_suspect(this->state),
                             .instance_busy = server.load.overloaded || server.shutting_down,
                             .other_runs = this->state.possible_runs,
                             .max_attempts = route.max_attempts},
                            now);
}

/// Starts a second send if the attempt is slow and one is permitted.
/// @returns When to decide again.
core::instant attempt_wait::consider_second(core::instant now)
{
    const auto decision = this->decide_second(now);
    switch (decision.step) {
    case dispatch::second_send_step::none:
        break;
    case dispatch::second_send_step::wait:
        return decision.until;
    case dispatch::second_send_step::over_limit:
        this->second_decided = true;
        ++this->state.server.counters.second_sends_over_limit;
        break;
    case dispatch::second_send_step::send:
        this->second_decided = true;
        this->start_second(now);
        break;
    }
    return core::instant::max();
}

void attempt_wait::start_second(core::instant now)
{
    auto& server = this->state.server;
    if (this->next.is_active()) {
        return; // a successor is being prepared
    }
    if (!dispatch::has_repeat(
            server.budgets[this->state.service], server.options.retries, server.instance_count, now)) {
        ++server.counters.second_sends_over_budget;
        return;
    }
    // A stream that has been registered goes on with the software version of its first endpoint.
    const auto version = this->state.route->resumable
                             ? std::optional<std::string_view>{this->state.attempt_version}
                             : std::nullopt;
    auto excluded = dispatch::endpoints_without_room(server.fleet, this->state.service, version, now);
    excluded.insert(excluded.end(), this->state.tried.begin(), this->state.tried.end());
    const auto decision = place(this->state, excluded, now);
    if (!decision.placed) {
        ++server.counters.second_sends_without_room;
        return;
    }
    this->second.start(decision, latest_attempt_end(this->state));
}

bool attempt_wait::claim()
{
    if (this->claimed) {
        return true;
    }
    if (this->second.state() == second_send_state::won) {
        return false;
    }
    this->second.end();
    this->claimed = true;
    auto& server = this->state.server;
    if (this->is_first && server.options.second_send_limit > 0) {
        const auto now = event_loop::now();
        dispatch::record_answer_time(
            server.second_sends, this->state.route->name, core::elapsed(this->running->sent_at, now), now);
    }
    return true;
}

bool attempt_wait::apply_second_answer(attempt_result& end) const
{
    if (this->second.state() != second_send_state::won) {
        return false;
    }
    end.sign = dispatch::request_outcome::unknown;
    end.timed_out = false;
    end.answer.reset();
    end.outcome = verdict::may_have_run(failure::none, "the second endpoint answered first");
    return true;
}

void attempt_wait::record_time(const attempt_result& end, core::instant now)
{
    auto& server = this->state.server;
    const bool given_up = end.timed_out || end.moved || this->second.state() == second_send_state::won;
    if (this->is_first && !this->claimed && given_up && server.options.second_send_limit > 0) {
        dispatch::record_answer_time(
            server.second_sends, this->state.route->name, core::elapsed(this->running->sent_at, now), now);
    }
}

/// Whether the request may go on at another endpoint after an attempt.
bool attempt_wait::may_go_on(const attempt_result& end)
{
    return !end.delivered && !end.caller_disconnected && !this->state.caller.is_disconnected() &&
           !this->state.caller.is_ended() &&
           end.outcome.may_retry_elsewhere(this->state.route->repeatable()) &&
           !may_crash_another(this->state, end);
}

std::optional<next_attempt> attempt_wait::take_successor(attempt_result& end)
{
    if (!std::exchange(this->moves, false) || !this->may_go_on(end)) {
        this->next.cancel();
        return std::nullopt;
    }
    end.moved = true;
    ++this->state.server.counters.moved_attempts;
    auto found = this->next.take();
    if (!found) {
        return std::nullopt;
    }
    return next_attempt{.decision = found->decision,
                        .prepared = {.connection = std::move(found->connection), .response = {}},
                        .running = {}};
}

asio::awaitable<std::optional<next_attempt>> attempt_wait::take_second(attempt_result& last)
{
    if (this->second.state() == second_send_state::sent && this->may_go_on(last)) {
        co_await this->second.wait();
    } else {
        this->second.end();
    }
    if (this->second.state() == second_send_state::won) {
        this->second_answered = true;
        co_return this->second.take();
    }
    const auto& failed = this->second.failure();
    if (failed && failed->state == run_state::may_have_run && last.outcome.state == run_state::not_run) {
        last.outcome = *failed;
        last.unsent = false;
    }
    co_return std::nullopt;
}

std::string_view attempt_wait::second_outcome() const noexcept
{
    if (!this->second.was_sent()) {
        return {};
    }
    if (this->second_answered) {
        return "won";
    }
    return this->second.state() == second_send_state::failed ? "failed" : "lost";
}

} // namespace hibiscusfall::relay::detail
