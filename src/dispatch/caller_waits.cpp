#include "hibiscusfall/dispatch/caller_waits.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

/// Callers of one route wait about equally long: those seen had between 85 and 100 parts in 100 of the
/// longest wait left when they came for the first time.
constexpr double least_fresh_wait = 0.8;
constexpr double mean_fresh_wait = 0.92;
/// Weight that remains after each caller: what was learned fades over some hundred.
constexpr double kept_weight = 0.995;
/// Part of the callers who come for the first time, below which the longest wait is that of a few odd ones. A
/// caller returns once or some times (PROTOCOL.md, answers).
constexpr double least_fresh_part = 0.3;
/// Callers before anything is told.
constexpr double least_callers = 8;

} // namespace

core::duration record_caller(caller_waits& waits, std::string_view route, core::duration left)
{
    auto& known = waits.by_route[std::string{route}];
    known.first_attempts *= kept_weight;
    known.later_attempts *= kept_weight;
    if (left > known.longest_time_left) {
        known = {.longest_time_left = left, .later_attempts = known.first_attempts + known.later_attempts};
    }
    const auto part = [&](double of_longest) {
        return core::duration{static_cast<core::duration::rep>(
            of_longest * static_cast<double>(known.longest_time_left.count()))};
    };
    const bool fresh = left >= part(least_fresh_wait);
    ++(fresh ? known.first_attempts : known.later_attempts);
    const double all = known.first_attempts + known.later_attempts;
    if (all >= least_callers && known.first_attempts < least_fresh_part * all) {
        known = {}; // learned anew, from callers as they are now
        return core::duration::zero();
    }
    if (fresh || all < least_callers) {
        return core::duration::zero();
    }
    return part(mean_fresh_wait) - left;
}

} // namespace hibiscusfall::dispatch
