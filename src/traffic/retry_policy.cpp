#include "hibiscusfall/traffic/retry_policy.hpp"

namespace hibiscusfall::traffic
{

using core::failure;
using core::run_state;

namespace
{

/// Failures that another endpoint cannot mend.
bool is_final(failure reason) noexcept
{
    switch (reason) {
    case failure::caller_gone:
    case failure::deadline:
    case failure::shutting_down:
    case failure::internal:
        return true;
    default:
        return false;
    }
}

} // namespace

retry_decision decide_retry(const failed_attempt& failed, const retry_limits& limits, request_budget& budget)
{
    const auto& outcome = failed.outcome;
    if (failed.relayed || is_final(outcome.reason) || !outcome.may_retry_elsewhere(failed.repeatable)) {
        return {.retry = false, .reason = outcome.reason};
    }
    if (!failed.endpoints_left || failed.attempts >= limits.attempts) {
        return {.retry = false, .reason = outcome.reason};
    }
    if (failed.remaining < limits.shortest) {
        return {.retry = false, .reason = failure::deadline};
    }
    if (!spend(budget)) {
        return {.retry = false, .reason = failure::retry_budget_spent};
    }
    return {.retry = true, .reason = failure::none};
}

retry_decision
decide_move(const stranded_stream& stranded, const retry_limits& limits, request_budget& budget)
{
    if (!stranded.resume_elsewhere || !stranded.endpoints_left || stranded.attempts >= limits.attempts) {
        return {.retry = false, .reason = failure::connection_broken};
    }
    if (!spend(budget)) {
        return {.retry = false, .reason = failure::retry_budget_spent};
    }
    return {.retry = true, .reason = failure::none};
}

core::verdict combine(const core::verdict& earlier, const core::verdict& later)
{
    auto result = later;
    if (later.state == run_state::not_run && earlier.state == run_state::may_have_run) {
        result.state = run_state::may_have_run;
    }
    if (!earlier.detail.empty() && !later.answered()) {
        result.detail += "; an earlier attempt: " + earlier.detail;
    }
    return result;
}

} // namespace hibiscusfall::traffic
