#include "stream_move.hpp"

#include "endpoint_race.hpp"
#include "slot_waiting.hpp"

#include <variant>

namespace hibiscusfall::traffic::detail
{

using core::verdict;
using clock = std::chrono::steady_clock;

namespace
{

/// The broken endpoint is among those tried. The caller's deadline ends with the first byte of the answer;
/// from then on it waits as long as for an endpoint that falls silent.
core::slot_request make_move_request(const relay_context& context)
{
    auto wanted = make_slot_request(context);
    wanted.deadline = clock::now() + context.state.options.endpoint_timeout;
    return wanted;
}

void leave(relay_context& context, candidate& source)
{
    source.exchange->close();
    source.slot.release({.answered = false, .cost = 0, .endpoint_failed = true});
    order_cancel_later(context, source.endpoint.address);
}

} // namespace

verdict move_stream(relay_context& context, candidate& source)
{
    const auto decision = context.state.decide(stranded_stream{
        .resume_elsewhere = context.plan.service->resume_elsewhere,
        .endpoints_left = endpoints_left(context),
        .attempts = context.totals.attempts,
    });
    if (!decision.retry) {
        return verdict::may_have_run(decision.reason, "the stream cannot go on at another endpoint");
    }
    leave(context, source);
    const auto answer = acquire_slot(context, make_move_request(context));
    if (const auto* denied = std::get_if<core::slot_denied>(&answer)) {
        return verdict::may_have_run(denied->reason, denied->detail);
    }
    const auto& slot = std::get<core::slot_granted>(answer);
    source.slot.hold(slot);
    const auto endpoint = find_endpoint(context, slot.endpoint);
    if (!endpoint) {
        return verdict::may_have_run(core::failure::no_endpoint,
                                     "endpoint " + slot.endpoint.str() + " is gone");
    }
    log_route(context, slot, "move");
    source.endpoint = *endpoint;
    source.tokens_before = context.totals.tokens;
    source.first_byte.reset();
    source.sent = clock::now();
    context.tried.push_back(slot.endpoint);
    context.totals.endpoint = slot.endpoint;
    ++context.totals.attempts;
    ++context.state.counters.moves;
    return verdict::ran();
}

} // namespace hibiscusfall::traffic::detail
