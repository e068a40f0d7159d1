#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace hibiscusfall::scheduling
{

/// @brief Requests of one team with hints of about the same size.
struct estimate_key {
    core::team_id team; ///< Empty for the estimate over all teams.
    std::int32_t bucket = 0;

    [[nodiscard]] friend auto operator<=>(const estimate_key&, const estimate_key&) = default;
};

/// @brief What requests of one kind have cost, newer ones weighing more.
struct cost_estimate {
    double cost = 0;
    core::duration run_time{};
    std::uint32_t samples = 0;
    std::uint64_t used = 0; ///< Order of last use.
};

/// @brief Learned estimates of one service, bounded in number; the least recently used one goes first.
struct cost_estimates {
    std::size_t capacity = 4096;
    std::map<estimate_key, cost_estimate> entries;
    std::map<std::uint64_t, estimate_key> by_use;
    std::uint64_t uses = 0;
};

/// @brief Expected cost and run time of a request.
/// @returns The team's own experience, else that of all teams, else the hint with no run time.
[[nodiscard]] cost_estimate expect(const cost_estimates& state, const core::team_id& team, double hint);

/// @brief The mean over all requests of the service; no samples when nothing has ended yet.
[[nodiscard]] cost_estimate expect_any(const cost_estimates& state);

/// @brief Takes in what a request has cost.
void learn(
    cost_estimates& state, const core::team_id& team, double hint, double cost, core::duration run_time);

} // namespace hibiscusfall::scheduling
