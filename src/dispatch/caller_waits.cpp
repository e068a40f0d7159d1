#include "hibiscusfall/dispatch/caller_waits.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

/// Callers of one route wait about equally long: on their first attempt they have 85 to 100 % of the longest
/// observed time left.
constexpr double min_first_attempt_fraction = 0.8;
constexpr double mean_first_attempt_fraction = 0.92;
/// Decay per caller: observations lose their weight over some hundred callers.
constexpr double decay_per_caller = 0.995;
/// Below this fraction of first attempts the longest wait belongs to a few outliers. A caller retries once or
/// a few times (PROTOCOL.md, answers).
constexpr double min_first_attempt_share = 0.3;
/// Callers required before waits are estimated.
constexpr double min_callers = 8;

} // namespace

core::duration record_caller(caller_waits& waits, std::string_view route, core::duration left)
{
    auto& known = waits.by_route[std::string{route}];
    known.first_attempts *= decay_per_caller;
    known.later_attempts *= decay_per_caller;
    if (left > known.longest_time_left) {
        known = {.longest_time_left = left, .later_attempts = known.first_attempts + known.later_attempts};
    }
    const auto fraction_of_longest = [&](double of_longest) {
        return core::duration{static_cast<core::duration::rep>(
            of_longest * static_cast<double>(known.longest_time_left.count()))};
    };
    const bool is_first_attempt = left >= fraction_of_longest(min_first_attempt_fraction);
    ++(is_first_attempt ? known.first_attempts : known.later_attempts);
    const double total = known.first_attempts + known.later_attempts;
    if (total >= min_callers && known.first_attempts < min_first_attempt_share * total) {
        known = {}; // relearn from current callers
        return core::duration::zero();
    }
    if (is_first_attempt || total < min_callers) {
        return core::duration::zero();
    }
    return fraction_of_longest(mean_first_attempt_fraction) - left;
}

} // namespace hibiscusfall::dispatch
