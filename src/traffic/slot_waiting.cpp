#include "slot_waiting.hpp"

#include <variant>

namespace hibiscusfall::traffic::detail
{

using core::failure;
using clock = std::chrono::steady_clock;

core::slot_decision acquire_slot(relay_context& context, const core::slot_request& wanted)
{
    auto& state = context.state;
    const waiting_place place(state, context.team->id);
    if (const auto& refusal = place.refusal()) {
        return core::slot_denied{.reason = refusal->reason, .detail = refusal->detail, .retry_after = {}};
    }
    const auto asked = clock::now();
    const bool caller_matters = !context.relayed || context.may_abandon();
    const auto caller_left = [&] { return caller_matters && context.caller.peer_closed(); };
    const auto given_up = [&] { return caller_left() || state.phase >= closing_phase::late; };
    auto answer = state.ports.acquire(wanted, given_up);
    const auto wait = core::elapsed(asked, clock::now());
    context.totals.wait += wait;
    state.counters.wait.record(wait);
    auto* denied = std::get_if<core::slot_denied>(&answer);
    const bool leaving = state.phase >= closing_phase::late && !caller_left();
    if (denied != nullptr && denied->reason == failure::caller_gone && leaving) {
        *denied = {.reason = failure::shutting_down,
                   .detail = "the instance is leaving and no slot came free in time",
                   .retry_after = {}};
    }
    return answer;
}

} // namespace hibiscusfall::traffic::detail
