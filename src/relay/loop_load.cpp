#include "hibiscusfall/relay/loop_load.hpp"

#include <algorithm>

namespace hibiscusfall::relay
{

namespace
{

/// A request takes four to five turns of the loop to its first event, which the users' sheets want in 300 ms;
/// at 100 ms the first events of a flooded instance came 500 ms later than expected.
constexpr double overloaded_ms = 40;
constexpr double calm_ms = 15;
/// A process that was stopped for seconds is late once, which alone does not make it overloaded.
constexpr double most_sample_ms = 150;
constexpr double sample_weight = 0.25;
/// The balancer asks once a second, and takes an instance out after two answers.
constexpr core::duration out_of_rotation = std::chrono::milliseconds{2200};
/// Time that an instance stays out, so that callers do not swing back with each answer to the balancer.
constexpr core::duration least_overload = std::chrono::seconds{3};

} // namespace

bool record_lag(loop_load& load, core::duration lag, core::instant now) noexcept
{
    const double sample = std::clamp(static_cast<double>(lag.count()) / 1000.0, 0.0, most_sample_ms);
    load.lag_ms += sample_weight * (sample - load.lag_ms);
    const bool before = load.overloaded;
    if (!before) {
        load.overloaded = load.lag_ms > overloaded_ms;
    } else if (now - load.changed_at >= least_overload) {
        load.overloaded = load.lag_ms > calm_ms;
    }
    if (load.overloaded != before) {
        load.changed_at = now;
        return true;
    }
    return false;
}

bool refuses_streams(const loop_load& load) noexcept
{
    return load.lag_ms > overloaded_ms;
}

core::duration observation_delay(const loop_load& load) noexcept
{
    return core::duration{static_cast<core::duration::rep>(load.lag_ms * 1000.0)};
}

bool should_close_connections(const loop_load& load, core::instant now) noexcept
{
    return load.overloaded && now - load.changed_at >= out_of_rotation;
}

} // namespace hibiscusfall::relay
