#include "hibiscusfall/core/verdict.hpp"

#include <utility>

namespace hibiscusfall::core
{

verdict verdict::not_run(failure reason, std::string detail)
{
    return {.state = run_state::not_run, .reason = reason, .detail = std::move(detail)};
}

verdict verdict::may_have_run(failure reason, std::string detail)
{
    return {.state = run_state::may_have_run, .reason = reason, .detail = std::move(detail)};
}

verdict verdict::ran()
{
    return {.state = run_state::ran, .reason = failure::none, .detail = {}};
}

std::string_view to_string(run_state value) noexcept
{
    switch (value) {
    case run_state::not_run:
        return "not-run";
    case run_state::ran:
        return "ran";
    case run_state::may_have_run:
        return "may-have-run";
    }
    return "may-have-run";
}

std::string_view to_string(failure value) noexcept
{
    switch (value) {
    case failure::none:
        return "none";
    case failure::unauthorized:
        return "unauthorized";
    case failure::unknown_service:
        return "unknown-service";
    case failure::malformed:
        return "malformed";
    case failure::too_large:
        return "too-large";
    case failure::queue_full:
        return "queue-full";
    case failure::deadline:
        return "deadline";
    case failure::no_endpoint:
        return "no-endpoint";
    case failure::shutting_down:
        return "shutting-down";
    case failure::not_configured:
        return "not-configured";
    case failure::key_in_use:
        return "key-in-use";
    case failure::claim_unsettled:
        return "claim-unsettled";
    case failure::endpoint_refused:
        return "endpoint-refused";
    case failure::connection_failed:
        return "connection-failed";
    case failure::connection_broken:
        return "connection-broken";
    case failure::garbled_answer:
        return "garbled-answer";
    case failure::caller_gone:
        return "caller-gone";
    case failure::retry_budget_spent:
        return "retry-budget-spent";
    case failure::internal:
        return "internal";
    case failure::unknown_path:
        return "unknown-path";
    case failure::bad_method:
        return "bad-method";
    case failure::receive_timeout:
        return "receive-timeout";
    case failure::answer_not_kept:
        return "answer-not-kept";
    case failure::crashes_endpoints:
        return "crashes-endpoints";
    case failure::origin_unknown:
        return "origin-unknown";
    case failure::no_room:
        return "no-room";
    }
    return "internal";
}

} // namespace hibiscusfall::core
