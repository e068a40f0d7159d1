#include "hibiscusfall/dispatch/repeat_budget.hpp"

#include <algorithm>
#include <numeric>

namespace hibiscusfall::dispatch
{

namespace
{

/// Part of the allowance that is used: requests may reach an endpoint later than they are counted here.
constexpr double safety = 0.8;

void advance(repeat_budget& budget, const repeat_limits& limits, core::instant now)
{
    const auto step_length = limits.window / repeat_budget::steps;
    if (now - budget.step_begun > limits.window + step_length) {
        budget.requests.fill(0);
        budget.repeats.fill(0);
        budget.step_begun = now;
        return;
    }
    while (budget.step_begun + step_length <= now) {
        budget.step_begun += step_length;
        budget.step = (budget.step + 1) % repeat_budget::steps;
        budget.requests[budget.step] = 0;
        budget.repeats[budget.step] = 0;
    }
}

} // namespace

void note_request(repeat_budget& budget, const repeat_limits& limits, core::instant now)
{
    advance(budget, limits, now);
    ++budget.requests[budget.step];
}

bool take_repeat(repeat_budget& budget,
                 const repeat_limits& limits,
                 std::uint32_t instances,
                 core::instant now)
{
    advance(budget, limits, now);
    const auto requests = std::accumulate(budget.requests.begin(), budget.requests.end(), 0U);
    const auto repeats = std::accumulate(budget.repeats.begin(), budget.repeats.end(), 0U);
    const double allowed =
        safety * (limits.ratio * requests + limits.slack / std::max<std::uint32_t>(1, instances));
    if (repeats + 1 > allowed) {
        return false;
    }
    ++budget.repeats[budget.step];
    return true;
}

} // namespace hibiscusfall::dispatch
