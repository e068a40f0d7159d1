#include "hibiscusfall/dispatch/endpoint_health.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusfall::dispatch
{

namespace
{

constexpr double failure_half_life_seconds = 2.0; // half-life of a failure; partial outages last 4 to 7 s
constexpr std::uint32_t failures_before_suspension = 3;
constexpr core::duration initial_suspension = std::chrono::milliseconds{500};
constexpr core::duration max_suspension = std::chrono::seconds{2};

} // namespace

double recent_failures(const endpoint_health& health, core::instant now)
{
    const double age = std::max(0.0, core::seconds_between(health.failures_at, now));
    return health.failures * std::exp2(-age / failure_half_life_seconds);
}

void record_outcome(endpoint_health& health, request_outcome outcome, core::instant now)
{
    if (outcome == request_outcome::unknown) {
        return;
    }
    if (outcome == request_outcome::succeeded) {
        health.consecutive_failures = 0;
        return;
    }
    health.failures = recent_failures(health, now) + 1.0;
    health.failures_at = now;
    ++health.consecutive_failures;
    const bool unreachable = outcome == request_outcome::unreachable;
    if (!unreachable && health.consecutive_failures < failures_before_suspension) {
        return;
    }
    const auto doublings = std::min<std::uint32_t>(health.consecutive_failures - 1, 4);
    health.suspended_until = now + std::min(initial_suspension * (1U << doublings), max_suspension);
}

void record_requested_backoff(endpoint_health& health, core::duration rest, core::instant now) noexcept
{
    const auto granted = std::clamp(rest, core::duration::zero(), max_requested_backoff);
    health.backoff_until = std::max(health.backoff_until, now + granted);
}

} // namespace hibiscusfall::dispatch
