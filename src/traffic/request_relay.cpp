#include "request_relay.hpp"

#include "answer_relay.hpp"
#include "claim_guard.hpp"
#include "endpoint_race.hpp"
#include "refusal.hpp"
#include "slot_waiting.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace hibiscusfall::traffic::detail
{

namespace
{

using core::failure;
using core::verdict;
using clock = std::chrono::steady_clock;

/// The end of a request: its verdict, and when coming back makes sense.
struct request_end {
    verdict outcome;
    core::duration retry_after{};
    bool no_slot = false; ///< The scheduler has weighed every endpoint; asking again is of no use.
};

bool refuse(const relay_context& context, const request_end& end)
{
    return send_refusal(context.caller,
                        end.outcome,
                        {.request_id = context.id,
                         .retry_after = end.retry_after,
                         .keep_alive = context.keep_alive(),
                         .replayed = false,
                         .timeout = context.state.options.caller_timeout});
}

verdict relay_from(relay_context& context, candidate& source)
{
    const auto& head = source.exchange->head();
    const bool is_stream = head.result() == http::status::ok &&
                           to_view(head[http::field::content_type]).starts_with("text/event-stream");
    return is_stream ? relay_stream(context, source) : relay_whole(context, source);
}

/// Makes one attempt: a slot, an endpoint, its answer.
request_end attempt(relay_context& context)
{
    context.kept = {};
    context.totals.tokens = 0;
    context.totals.first_byte.reset();
    auto answer = acquire_slot(context, make_slot_request(context));
    if (const auto* denied = std::get_if<core::slot_denied>(&answer)) {
        return {.outcome = verdict::not_run(denied->reason, denied->detail),
                .retry_after = denied->retry_after,
                .no_slot = true};
    }
    const auto& slot = std::get<core::slot_granted>(answer);
    const auto endpoint = find_endpoint(context, slot.endpoint);
    if (!endpoint) {
        context.state.ports.release(slot.ticket, {});
        return {.outcome =
                    verdict::not_run(failure::no_endpoint, "endpoint " + slot.endpoint.str() + " is gone"),
                .retry_after = {}};
    }
    log_route(context, slot, context.totals.attempts == 0 ? "granted" : "retry");
    ++context.totals.attempts;
    auto result = race_for_answer(context, std::make_unique<candidate>(context.state, *endpoint, slot));
    if (auto* failed = std::get_if<verdict>(&result)) {
        return {.outcome = std::move(*failed), .retry_after = {}};
    }
    return {.outcome = relay_from(context, *std::get<std::unique_ptr<candidate>>(result)), .retry_after = {}};
}

/// What the refusing endpoints told, for a caller that may come back.
core::duration stated_retry_after(const relay_context& context, const verdict& outcome)
{
    return outcome.may_retry_elsewhere(context.plan.service->repeatable)
               ? context.retry_after.value_or(core::duration::zero())
               : core::duration::zero();
}

/// Makes attempts until one is answered or no further one is safe.
request_end run_attempts(relay_context& context)
{
    request_end end;
    while (true) {
        const bool first = context.totals.attempts == 0;
        auto next = attempt(context);
        end = {.outcome = first ? std::move(next.outcome) : combine(end.outcome, next.outcome),
               .retry_after = next.retry_after};
        if (end.outcome.answered() || context.relayed || next.no_slot) {
            if (end.retry_after <= core::duration::zero()) {
                end.retry_after = stated_retry_after(context, end.outcome);
            }
            return end;
        }
        context.resting = context.state.resting_endpoints();
        const auto decision =
            context.state.decide({.outcome = end.outcome,
                                  .repeatable = context.plan.service->repeatable,
                                  .relayed = context.relayed,
                                  .endpoints_left = endpoints_left(context),
                                  .attempts = context.totals.attempts,
                                  .remaining = core::elapsed(clock::now(), context.deadline)});
        if (!decision.retry) {
            if (decision.reason == failure::retry_budget_spent) {
                end.outcome.reason = decision.reason;
            } else {
                end.retry_after = stated_retry_after(context, end.outcome);
            }
            return end;
        }
        ++context.state.counters.retries;
    }
}

void log_end(const relay_context& context, const verdict& outcome)
{
    const auto& totals = context.totals;
    telemetry::write(telemetry::log_event{"request_ended"}
                         .with("request", context.id)
                         .with("team", context.team->id.view())
                         .with("service", context.plan.service->id.view())
                         .with("endpoint", totals.endpoint ? totals.endpoint.view() : "-")
                         .with("verdict", core::to_string(outcome.state))
                         .with("reason", core::to_string(outcome.reason))
                         .with("detail", outcome.detail)
                         .with("tokens", totals.tokens)
                         .with("cost", totals.cost)
                         .with("attempts", totals.attempts)
                         .with("hedged", totals.hedged)
                         .with("resumed", totals.resumes)
                         .with("wait_us", totals.wait.count())
                         .with("whole_us", core::elapsed(context.arrived, clock::now()).count()));
}

void count_end(const relay_context& context, const verdict& outcome)
{
    auto& counters = context.state.counters;
    counters.count_outcome(outcome);
    counters.tokens += context.totals.tokens;
    counters.bytes_out += context.totals.bytes;
    if (context.totals.first_byte) {
        counters.first_byte.record(core::elapsed(context.arrived, *context.totals.first_byte));
    }
    if (outcome.answered()) {
        counters.whole.record(core::elapsed(context.arrived, clock::now()));
    }
}

/// Tells the caller of a request that was not answered.
bool tell_failure(const relay_context& context, const request_end& end)
{
    if (end.outcome.reason == failure::caller_gone) {
        return false;
    }
    if (!context.relayed) {
        return refuse(context, end);
    }
    if (context.kept.content_type.starts_with("text/event-stream")) {
        send_error_event(context.caller, end.outcome, context.id, context.state.options.caller_timeout);
        return false;
    }
    return context.keep_alive();
}

bool run_claimed(relay_context& context)
{
    claim_guard claim(context);
    context.settle_claim = [&claim](const verdict& outcome) { claim.settle(outcome); };
    const auto decision = claim.claim();
    if (const auto* replayed = std::get_if<core::claim_replayed>(&decision)) {
        ++context.state.counters.replays;
        log_end(context, replayed->outcome.result);
        return send_stored(context, replayed->outcome);
    }
    request_end end;
    if (const auto* denied = std::get_if<core::claim_denied>(&decision)) {
        end = {.outcome = denied->result, .retry_after = denied->retry_after};
    } else {
        end = run_attempts(context);
    }
    claim.settle(end.outcome);
    count_end(context, end.outcome);
    log_end(context, end.outcome);
    return end.outcome.answered() ? context.keep_alive() : tell_failure(context, end);
}

/// Counts a request as in flight while it lives.
class flight
{
public:
    explicit flight(traffic_counters& given) : counters(given) { ++this->counters.in_flight; }
    ~flight() { --this->counters.in_flight; }
    flight(const flight&) = delete;
    flight& operator=(const flight&) = delete;

private:
    traffic_counters& counters;
};

bool run_guarded(relay_context& context)
{
    const flight counted(context.state.counters);
    try {
        return run_claimed(context);
    } catch (const std::exception& problem) {
        const auto outcome = context.may_have_run ? verdict::may_have_run(failure::internal, problem.what())
                                                  : verdict::not_run(failure::internal, problem.what());
        context.state.counters.count_outcome(outcome);
        log_end(context, outcome);
        tell_failure(context, {.outcome = outcome, .retry_after = {}});
        return false;
    }
}

} // namespace

std::optional<verdict> refuse_early(relay_state& state, const request_head& head)
{
    if (state.leaving()) {
        return verdict::not_run(failure::shutting_down, "the instance is leaving");
    }
    if (auto fault = check_head(head)) {
        return fault;
    }
    const auto document = state.ports.configuration();
    if (!document) {
        return verdict::not_run(failure::not_configured, "no configuration yet");
    }
    const auto* team = document->find_by_token(bearer_token(head));
    if (team == nullptr) {
        return verdict::not_run(failure::unauthorized, "no team has this bearer token");
    }
    return state.check_waiting_room(team->id);
}

bool relay_request(http_socket& caller,
                   const caller_request& request,
                   const std::string& request_id,
                   core::instant arrived,
                   relay_state& state)
{
    state.counters.bytes_in += request.body().size();
    relay_context context{.caller = caller,
                          .request = request,
                          .id = request_id,
                          .state = state,
                          .document = state.ports.configuration(),
                          .plan = {},
                          .arrived = arrived,
                          .deadline = arrived + state.options.default_deadline};
    context.team = context.document ? context.document->find_by_token(bearer_token(request)) : nullptr;
    if (context.team == nullptr) {
        return refuse(context,
                      {.outcome = verdict::not_run(failure::unauthorized, "no team has this bearer token"),
                       .retry_after = {}});
    }
    auto planned = plan_request(request, *context.document);
    if (const auto* fault = std::get_if<verdict>(&planned)) {
        state.counters.count_outcome(*fault);
        return refuse(context, {.outcome = *fault, .retry_after = {}});
    }
    context.plan = std::get<request_plan>(std::move(planned));
    if (context.plan.deadline > core::duration::zero()) {
        context.deadline = arrived + context.plan.deadline;
    }
    return run_guarded(context);
}

} // namespace hibiscusfall::traffic::detail
