#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace hibiscusfall::dispatch
{

/// @brief Learned total wait time of callers per route. Identifies callers that retry after a refusal: they
/// arrive with less time left than callers on their first attempt.
/// @remarks Under overload, refused callers retry at other instances, which have no record of the first
/// attempt.
struct caller_waits {
    struct route_estimate {
        core::duration longest_time_left{}; ///< Time left of callers on their first attempt.
        double first_attempts = 0;          ///< Decaying count of callers with about that time left.
        double later_attempts = 0;          ///< Decaying count of callers with less.
    };
    std::unordered_map<std::string, route_estimate> by_route;
};

/// @brief Records a caller and estimates how long it had already waited before this request arrived.
/// @param left Time for which the caller will still wait.
/// @returns The estimate; zero for a first attempt, and if the callers of the route differ so much that less
/// time left does not indicate a retry.
[[nodiscard]] core::duration record_caller(caller_waits& waits, std::string_view route, core::duration left);

} // namespace hibiscusfall::dispatch
