#include "hibiscusfall/dispatch/engine_pace.hpp"

#include "hibiscusfall/dispatch/engine_model.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

/// Duration of a decode step without prefill. Specified are 3.4 to 3.9 ms; a third of the engines is slower
/// by a factor of 1.3 (21 to 27 ms for six steps).
constexpr double min_step_ms = 3.0;
constexpr double default_step_ms = 4.0;
constexpr double max_step_ms = 6.0;
/// Upper limit of prompt tokens processed in one step: the longest normal gaps exceed the shortest by 110 ms,
/// at six steps and 61 tokens per ms.
constexpr double chunk_tokens = 1024;
/// Fraction by which the usual gap moves towards a sample below or near it.
constexpr double learning_rate = 0.1;
/// Up to this multiple of the usual gap a gap counts as normal.
constexpr double usual_spread = 1.25;
/// A gap below this fraction of the usual one follows a delay in transit and is no sample of the engine.
constexpr double min_gap_fraction = 0.5;
/// Observed slowdowns reach a factor of 2.5.
constexpr double max_slowdown = 4;
constexpr double sample_weight = 0.5; // two samples suffice; a single one may be a delay of this instance
/// Below this factor an engine counts as running at normal speed.
constexpr double min_significant_slowdown = 1.35;
/// Streams of a slowed engine have an event at least every 150 ms, so older observations are outdated.
constexpr core::duration observation_lifetime = std::chrono::milliseconds{400};
/// A peer's report is older than an own observation made within this time.
constexpr core::duration own_observation_precedence = std::chrono::milliseconds{100};
/// Remaining duration of a slowdown from its detection; a whole one lasts 300 to 700 ms.
constexpr double remaining_slowdown_ms = 300;

double to_ms(core::duration value) noexcept
{
    return static_cast<double>(value.count()) / 1000.0;
}

double usual_gap_ms(const engine_pace& pace, std::uint32_t tokens_per_event) noexcept
{
    return pace.usual_gap_ms > 0 ? pace.usual_gap_ms : default_step_ms * tokens_per_event;
}

void learn_usual_gap(engine_pace& pace, double gap_ms, std::uint32_t tokens_per_event) noexcept
{
    const double known = usual_gap_ms(pace, tokens_per_event);
    if (gap_ms <= known * usual_spread) {
        pace.usual_gap_ms = std::clamp(known + learning_rate * (gap_ms - known),
                                       min_step_ms * tokens_per_event,
                                       max_step_ms * tokens_per_event);
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
    if (tokens_per_event == 0 || gap_ms < min_gap_fraction * usual_gap_ms(pace, tokens_per_event)) {
        return;
    }
    learn_usual_gap(pace, gap_ms, tokens_per_event);
    const double sample =
        std::clamp(gap_ms / max_usual_gap_ms(pace, tokens, tokens_per_event), 1.0, max_slowdown);
    const double before = now - pace.observed_at > observation_lifetime ? sample : pace.slowdown;
    pace.slowdown = before + sample_weight * (sample - before);
    pace.observed_at = now;
    pace.own_observed_at = now;
}

void record_peer_slowdown(engine_pace& pace, double slowdown, core::instant now) noexcept
{
    if (now - pace.own_observed_at < own_observation_precedence) {
        return;
    }
    pace.slowdown = std::clamp(slowdown, 1.0, max_slowdown);
    pace.observed_at = now;
}

double current_slowdown(const engine_pace& pace, core::instant now) noexcept
{
    const bool fresh = now - pace.observed_at <= observation_lifetime;
    return fresh && is_slowed(pace.slowdown) ? pace.slowdown : 1.0;
}

double own_slowdown(const engine_pace& pace, core::instant now) noexcept
{
    return now - pace.own_observed_at <= own_observation_precedence ? pace.slowdown : 0.0;
}

bool is_slowed(double slowdown) noexcept
{
    return slowdown >= min_significant_slowdown;
}

core::duration slowed_duration(const engine_pace& pace, core::duration usual, core::instant now) noexcept
{
    const double factor = current_slowdown(pace, now);
    if (factor <= 1) {
        return usual;
    }
    const double done_while_slow = remaining_slowdown_ms / factor;
    const double usual_ms = to_ms(usual);
    const double ms =
        usual_ms <= done_while_slow ? usual_ms * factor : usual_ms + remaining_slowdown_ms - done_while_slow;
    return core::duration{static_cast<core::duration::rep>(ms * 1000.0)};
}

} // namespace hibiscusfall::dispatch
