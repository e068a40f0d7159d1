#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <string>
#include <string_view>
#include <unordered_map>

namespace hibiscusfall::dispatch
{

/// @brief How long callers wait in all, learned for each route, to tell those who come back after a refusal:
/// they have less time left than the others.
/// @remarks Answers a load beyond capacity, in which callers who were refused return at other instances.
struct caller_waits {
    struct learned {
        core::duration longest{}; ///< Time left of callers who come for the first time.
        double fresh = 0;         ///< Callers with about that time left, fading.
        double others = 0;        ///< Callers with less, fading.
    };
    std::unordered_map<std::string, learned> by_route;
};

/// @brief Notes a caller, and tells how long it has waited before it came here.
/// @param left Time that it will still wait.
/// @returns About how long; zero for a caller who comes for the first time, and where callers differ so much
/// that less time left tells nothing.
[[nodiscard]] core::duration note_caller(caller_waits& waits, std::string_view route, core::duration left);

} // namespace hibiscusfall::dispatch
