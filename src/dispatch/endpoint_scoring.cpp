#include "endpoint_scoring.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch::detail
{

namespace
{

/// Delay of the first token, in ms, accepted to avoid the prefill of one shared token cached elsewhere: by
/// the specification 1,000 reread tokens cost about 0.5 of a request's credit.
constexpr double ms_per_reread_token = 0.4;
/// Weight of each millisecond beyond the target.
constexpr double lateness_weight = 3.0;
constexpr double ms_per_recent_failure = 150.0;
/// Score in ms for each running stream whose event gap would exceed the target because of the prompt.
constexpr double ms_per_delayed_stream = 60.0;
/// Fraction of it if prompts sent before already delay the streams beyond the target.
constexpr double already_delayed_fraction = 0.25;
/// Score in ms of a full batch: concurrent streams slow each other down.
constexpr double full_batch_ms = 60.0;
/// Mean duration of a plain call in ms, used to score queues.
constexpr double plain_call_ms = 60.0;
constexpr double cross_domain_ms = 2.0; // a round trip between failure domains

double tie_break(const endpoint_state& state, std::uint64_t hash)
{
    const auto mixed = (hash ^ state.tag) * 0x9E3779B97F4A7C15ULL;
    return static_cast<double>(mixed >> 44U) / static_cast<double>(1U << 20U);
}

/// Cost of a prompt for the running streams of a slowed engine whose event gaps it would push beyond the
/// target.
double event_gap_cost(const endpoint_state& state,
                      const placement_request& request,
                      double tokens,
                      core::instant now)
{
    const double factor = current_slowdown(state.pace, now);
    if (factor <= 1 || request.event_gap_target <= core::duration::zero()) {
        return 0;
    }
    const double limit = to_ms(request.event_gap_target);
    const double queued_tokens = queued_prefill_tokens(state.model, now);
    const auto pause = [&](double read) {
        return factor * max_usual_gap_ms(state.pace, read, state.tokens_per_event);
    };
    if (pause(queued_tokens + tokens) <= limit) {
        return 0;
    }
    const double fraction = pause(queued_tokens) > limit ? already_delayed_fraction : 1.0;
    return fraction * ms_per_delayed_stream * running(state);
}

/// Cost of copying a token, as a fraction of that of processing it again.
double transfer_cost(const endpoint_state& state)
{
    return state.transfer_ms_per_token * default_prefill_tokens_per_ms;
}

} // namespace

double to_ms(core::duration value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

core::duration scale(core::duration whole, double fraction)
{
    return core::duration{static_cast<core::duration::rep>(fraction * static_cast<double>(whole.count()))};
}

std::uint32_t running(const endpoint_state& state)
{
    return state.model.own_requests + state.model.peer_requests;
}

scored score_engine(const fleet_state& fleet,
                    const endpoint_state& state,
                    const placement_request& request,
                    std::span<const resolved_segment> segments,
                    std::span<const prefix_source> sources,
                    core::duration stream_time,
                    core::instant now)
{
    const auto& generation = *request.generation;
    const auto held = match_prefix(segments, state.tag, state.model.sent_tokens, state.memory_tokens);
    const auto source = state.transfer_ms_per_token > 0
                            ? choose_prefix_source(sources, state, held.cached_tokens)
                            : std::nullopt;
    const auto transferred_tokens = source ? source->tokens - held.cached_tokens : 0U;
    const auto transfer = source ? transfer_time(state, transferred_tokens) : core::duration::zero();
    const auto reread_tokens = held.reread_tokens - std::min(held.reread_tokens, transferred_tokens);
    const auto uncached_tokens = generation.prompt_tokens -
                                 std::min(generation.prompt_tokens, held.cached_tokens + transferred_tokens);
    const auto place = expected_slot_wait(state, stream_time);
    scored result{
        .state = &state,
        .wait = place + slowed_duration(
                            state.pace, expected_queue_time(state.model, now, fleet.observation_delay), now),
        .first_token = place + transfer +
                       slowed_duration(state.pace,
                                       expected_time_to_first_token(
                                           state.model, uncached_tokens, now, fleet.observation_delay),
                                       now),
        .reread_tokens = reread_tokens,
        .source = source,
        .transferred_tokens = transferred_tokens};
    const double first_ms = to_ms(result.first_token);
    const double late_ms = std::max(0.0, first_ms - on_time_fraction * to_ms(request.first_token_target));
    const double fill = state.batch == 0 ? 0.0 : static_cast<double>(running(state)) / state.batch;
    result.score = first_ms + lateness_weight * late_ms + ms_per_reread_token * reread_tokens +
                   ms_per_reread_token * transfer_cost(state) * transferred_tokens +
                   full_batch_ms * fill * fill + event_gap_cost(state, request, uncached_tokens, now) +
                   ms_per_recent_failure * recent_failures(state.health, now) +
                   (state.entry.domain == fleet.own_domain ? 0.0 : cross_domain_ms) +
                   tie_break(state, request.hash);
    return result;
}

scored score_plain(const fleet_state& fleet,
                   const endpoint_state& state,
                   const placement_request& request,
                   core::instant now)
{
    const auto slots = std::max(1U, state.batch);
    const double queue_ms = plain_call_ms * (running(state) + 1) / slots;
    const double score = queue_ms + ms_per_recent_failure * recent_failures(state.health, now) +
                         (state.entry.domain == fleet.own_domain ? 0.0 : cross_domain_ms) +
                         tie_break(state, request.hash);
    const auto wait = running(state) < slots
                          ? core::duration::zero()
                          : core::duration{static_cast<core::duration::rep>(
                                1000.0 * plain_call_ms * (running(state) - slots + 1) / slots)};
    return {.state = &state, .score = score, .wait = wait, .first_token = wait};
}

scored score_least_in_flight(const endpoint_state& state, const placement_request& request)
{
    return {.state = &state, .score = running(state) + tie_break(state, request.hash)};
}

} // namespace hibiscusfall::dispatch::detail
