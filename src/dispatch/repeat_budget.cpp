#include "hibiscusfall/dispatch/repeat_budget.hpp"

#include <algorithm>
#include <numeric>

namespace hibiscusfall::dispatch
{

namespace
{

/// Fraction of the allowance that is used: requests may reach an endpoint later than they are counted here.
constexpr double safety_factor = 0.8;

void advance(repeat_budget& budget, const repeat_limits& limits, core::instant now)
{
    const auto bucket_length = limits.window / repeat_budget::bucket_count;
    if (now - budget.bucket_start > limits.window + bucket_length) {
        budget.requests.fill(0);
        budget.repeats.fill(0);
        budget.bucket_start = now;
        return;
    }
    while (budget.bucket_start + bucket_length <= now) {
        budget.bucket_start += bucket_length;
        budget.bucket = (budget.bucket + 1) % repeat_budget::bucket_count;
        budget.requests[budget.bucket] = 0;
        budget.repeats[budget.bucket] = 0;
    }
}

} // namespace

void record_request(repeat_budget& budget, const repeat_limits& limits, core::instant now)
{
    advance(budget, limits, now);
    ++budget.requests[budget.bucket];
}

bool has_repeat(repeat_budget& budget,
                const repeat_limits& limits,
                std::uint32_t instances,
                core::instant now)
{
    advance(budget, limits, now);
    const auto requests = std::accumulate(budget.requests.begin(), budget.requests.end(), 0U);
    const auto repeats = std::accumulate(budget.repeats.begin(), budget.repeats.end(), 0U);
    const double allowed =
        safety_factor * (limits.ratio * requests + limits.slack / std::max<std::uint32_t>(1, instances));
    return repeats + 1 <= allowed;
}

bool try_take_repeat(repeat_budget& budget,
                     const repeat_limits& limits,
                     std::uint32_t instances,
                     core::instant now)
{
    if (!has_repeat(budget, limits, instances, now)) {
        return false;
    }
    ++budget.repeats[budget.bucket];
    return true;
}

} // namespace hibiscusfall::dispatch
