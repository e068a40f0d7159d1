#include "hibiscusfall/dispatch/engine_pace.hpp"

#include "hibiscusfall/dispatch/engine_model.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

/// Time of a step without reading. The users' sheets state 3.4 to 3.9 ms; a third of the engines is slower by
/// 1.3 (measured: 21 to 27 ms for six steps).
constexpr double least_step_ms = 3.0;
constexpr double assumed_step_ms = 4.0;
constexpr double most_step_ms = 6.0;
/// Prompt tokens that one step reads at most: the longest usual gaps were 110 ms longer than the shortest, at
/// six steps and 61 tokens a ms.
constexpr double chunk_tokens = 1024;
/// Part of the way that the usual time between events moves towards a sample below and near it.
constexpr double learning_rate = 0.1;
/// Up to this multiple a gap counts as the usual one.
constexpr double usual_spread = 1.25;
/// A gap below this part of the usual one follows a delay on the way and says nothing of the engine.
constexpr double least_part = 0.5;
/// Engines were seen to be slowed by up to 2.5.
constexpr double most_slowness = 4;
constexpr double sample_weight = 0.5; // two samples tell, one may be a delay of this instance
/// Below this an engine counts as usual.
constexpr double least_slowness = 1.35;
/// Streams at a slowed engine have an event every 150 ms at least; older news says nothing.
constexpr core::duration pace_memory = std::chrono::milliseconds{400};
/// News of another instance is older than what this one saw within this time.
constexpr core::duration own_view = std::chrono::milliseconds{100};
/// How long a slowed engine stays slow from when it is noticed: seen as 300 to 700 ms in all.
constexpr double rest_of_slowness_ms = 300;

double to_ms(core::duration value) noexcept
{
    return static_cast<double>(value.count()) / 1000.0;
}

double usual_gap_ms(const engine_pace& pace, std::uint32_t tokens_per_event) noexcept
{
    return pace.usual_gap_ms > 0 ? pace.usual_gap_ms : assumed_step_ms * tokens_per_event;
}

void learn_event_ms(engine_pace& pace, double gap_ms, std::uint32_t tokens_per_event) noexcept
{
    const double known = usual_gap_ms(pace, tokens_per_event);
    if (gap_ms <= known * usual_spread) {
        pace.usual_gap_ms = std::clamp(known + learning_rate * (gap_ms - known),
                                       least_step_ms * tokens_per_event,
                                       most_step_ms * tokens_per_event);
    }
}

} // namespace

double max_usual_gap_ms(const engine_pace& pace, double tokens, std::uint32_t tokens_per_event) noexcept
{
    const double read = std::min(tokens, chunk_tokens * tokens_per_event);
    return usual_gap_ms(pace, tokens_per_event) + read / default_prefill_tokens_per_ms;
}

void record_event_gap(engine_pace& pace,
                      core::duration gap,
                      double tokens,
                      std::uint32_t tokens_per_event,
                      core::instant now) noexcept
{
    const double gap_ms = to_ms(gap);
    if (tokens_per_event == 0 || gap_ms < least_part * usual_gap_ms(pace, tokens_per_event)) {
        return;
    }
    learn_event_ms(pace, gap_ms, tokens_per_event);
    const double sample =
        std::clamp(gap_ms / max_usual_gap_ms(pace, tokens, tokens_per_event), 1.0, most_slowness);
    const double before = now - pace.observed_at > pace_memory ? sample : pace.slowdown;
    pace.slowdown = before + sample_weight * (sample - before);
    pace.observed_at = now;
    pace.own_observed_at = now;
}

void record_peer_slowdown(engine_pace& pace, double slowdown, core::instant now) noexcept
{
    if (now - pace.own_observed_at < own_view) {
        return;
    }
    pace.slowdown = std::clamp(slowdown, 1.0, most_slowness);
    pace.observed_at = now;
}

double current_slowdown(const engine_pace& pace, core::instant now) noexcept
{
    const bool fresh = now - pace.observed_at <= pace_memory;
    return fresh && is_slowed(pace.slowdown) ? pace.slowdown : 1.0;
}

double own_slowdown(const engine_pace& pace, core::instant now) noexcept
{
    return now - pace.own_observed_at <= own_view ? pace.slowdown : 0.0;
}

bool is_slowed(double slowdown) noexcept
{
    return slowdown >= least_slowness;
}

core::duration slowed_duration(const engine_pace& pace, core::duration usual, core::instant now) noexcept
{
    const double factor = current_slowdown(pace, now);
    if (factor <= 1) {
        return usual;
    }
    const double done_while_slow = rest_of_slowness_ms / factor;
    const double usual_ms = to_ms(usual);
    const double ms =
        usual_ms <= done_while_slow ? usual_ms * factor : usual_ms + rest_of_slowness_ms - done_while_slow;
    return core::duration{static_cast<core::duration::rep>(ms * 1000.0)};
}

} // namespace hibiscusfall::dispatch
