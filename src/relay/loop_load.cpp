#include "hibiscusfall/relay/loop_load.hpp"

#include <algorithm>

namespace hibiscusfall::relay
{

namespace
{

/// A request needs four to five loop iterations to its first event, which the service targets require within
/// 300 ms. At a lag of 100 ms, first events of an overloaded instance were 500 ms late.
constexpr double overload_lag_ms = 40;
constexpr double recovery_lag_ms = 15;
/// Upper bound of a sample, so that one long pause of the process does not count as overload.
constexpr double max_sample_ms = 150;
constexpr double sample_weight = 0.25;
/// Part of the peak that is left after each sample.
constexpr double peak_fade = 0.99;
/// The load balancer checks once a second and removes an instance after two failed checks.
constexpr core::duration rotation_delay = std::chrono::milliseconds{2200};
/// Minimum duration of the overloaded state, so that traffic does not oscillate with each readiness check.
constexpr core::duration min_overload_duration = std::chrono::seconds{3};

} // namespace

bool record_lag(loop_load& load, core::duration lag, core::instant now) noexcept
{
    const double lag_ms = static_cast<double>(lag.count()) / 1000.0;
    const double sample = std::clamp(lag_ms, 0.0, max_sample_ms);
    load.peak_lag_ms = std::max(lag_ms, load.peak_lag_ms * peak_fade);
    load.lag_ms += sample_weight * (sample - load.lag_ms);
    const bool before = load.overloaded;
    if (!before) {
        load.overloaded = load.lag_ms > overload_lag_ms;
    } else if (now - load.changed_at >= min_overload_duration) {
        load.overloaded = load.lag_ms > recovery_lag_ms;
    }
    if (load.overloaded != before) {
        load.changed_at = now;
        return true;
    }
    return false;
}

bool refuses_streams(const loop_load& load) noexcept
{
    return load.lag_ms > overload_lag_ms;
}

core::duration observation_delay(const loop_load& load) noexcept
{
    return core::duration{static_cast<core::duration::rep>(load.lag_ms * 1000.0)};
}

bool should_close_connections(const loop_load& load, core::instant now) noexcept
{
    return load.overloaded && now - load.changed_at >= rotation_delay;
}

} // namespace hibiscusfall::relay
