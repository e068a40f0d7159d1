#include "hibiscusfall/traffic/hedge_policy.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusfall::traffic
{

namespace
{

constexpr double shortest_seconds = 1e-4;
constexpr double longest_seconds = 600.0;

} // namespace

void observe(first_byte_estimate& estimate, core::duration first_byte, const hedge_limits& limits)
{
    const double seconds = std::chrono::duration<double>(first_byte).count();
    if (estimate.samples == 0) {
        estimate.seconds = seconds;
    } else if (seconds > estimate.seconds) {
        estimate.seconds *= std::exp(limits.step * limits.quantile);
    } else {
        estimate.seconds *= std::exp(-limits.step * (1.0 - limits.quantile));
    }
    estimate.seconds = std::clamp(estimate.seconds, shortest_seconds, longest_seconds);
    estimate.samples = std::min(estimate.samples + 1, limits.samples_needed);
}

std::optional<core::duration> hedge_delay(const first_byte_estimate& estimate, const hedge_limits& limits)
{
    if (estimate.samples < limits.samples_needed) {
        return std::nullopt;
    }
    const auto wanted = std::chrono::duration<double>(estimate.seconds * limits.factor);
    return std::max(std::chrono::duration_cast<core::duration>(wanted), limits.shortest);
}

} // namespace hibiscusfall::traffic
