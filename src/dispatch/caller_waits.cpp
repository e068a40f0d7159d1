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

core::duration note_caller(caller_waits& waits, std::string_view route, core::duration left)
{
    auto& known = waits.by_route[std::string{route}];
    known.fresh *= kept_weight;
    known.others *= kept_weight;
    if (left > known.longest) {
        known = {.longest = left, .others = known.fresh + known.others};
    }
    const auto part = [&](double of_longest) {
        return core::duration{
            static_cast<core::duration::rep>(of_longest * static_cast<double>(known.longest.count()))};
    };
    const bool fresh = left >= part(least_fresh_wait);
    ++(fresh ? known.fresh : known.others);
    const double all = known.fresh + known.others;
    if (all >= least_callers && known.fresh < least_fresh_part * all) {
        known = {}; // learned anew, from callers as they are now
        return core::duration::zero();
    }
    if (fresh || all < least_callers) {
        return core::duration::zero();
    }
    return part(mean_fresh_wait) - left;
}

} // namespace hibiscusfall::dispatch
