#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/verdict.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace hibiscusfall::traffic
{

/// @brief The requests that wait for a slot in this router, per team and in all, with their bounds.
struct waiting_limits {
    std::uint32_t per_team = 64;
    std::uint32_t total = 1024;
    std::map<core::team_id, std::uint32_t> waiting; ///< Only teams with a waiting request.
    std::uint32_t waiting_total = 0;
};

/// @brief Whether one more request of the team may wait.
/// @returns Nothing when it may, otherwise the refusal.
[[nodiscard]] std::optional<core::verdict> check_room(const waiting_limits& limits,
                                                      const core::team_id& team);

/// @brief Counts a request in if there is room.
/// @returns Nothing when it was counted in, otherwise the refusal.
[[nodiscard]] std::optional<core::verdict> enter(waiting_limits& limits, const core::team_id& team);

/// @brief Counts a request out that had been counted in.
void leave(waiting_limits& limits, const core::team_id& team);

} // namespace hibiscusfall::traffic
