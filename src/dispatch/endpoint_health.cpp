#include "hibiscusfall/dispatch/endpoint_health.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusfall::dispatch
{

namespace
{

constexpr double fading_seconds = 2.0; // failures count half after this; grey phases last 4 to 7 s
constexpr std::uint32_t failures_before_rest = 3;
constexpr core::duration first_rest = std::chrono::milliseconds{500};
constexpr core::duration longest_rest = std::chrono::seconds{2};

} // namespace

double recent_failures(const endpoint_health& health, core::instant now)
{
    const double age = std::max(0.0, core::seconds_between(health.failures_at, now));
    return health.failures * std::exp2(-age / fading_seconds);
}

void note(endpoint_health& health, endpoint_sign sign, core::instant now)
{
    if (sign == endpoint_sign::good) {
        health.in_a_row = 0;
        return;
    }
    health.failures = recent_failures(health, now) + 1.0;
    health.failures_at = now;
    ++health.in_a_row;
    const bool unreachable = sign == endpoint_sign::unreachable;
    if (!unreachable && health.in_a_row < failures_before_rest) {
        return;
    }
    const auto doublings = std::min<std::uint32_t>(health.in_a_row - 1, 4);
    health.rests_until = now + std::min(first_rest * (1U << doublings), longest_rest);
}

void note_asked_rest(endpoint_health& health, core::duration rest, core::instant now) noexcept
{
    const auto granted = std::clamp(rest, core::duration::zero(), longest_asked_rest);
    health.closed_until = std::max(health.closed_until, now + granted);
}

} // namespace hibiscusfall::dispatch
