#pragma once

#include "hibiscusfall/core/identifiers.hpp"

#include <cstdint>
#include <map>

namespace hibiscusfall::scheduling
{

/// @brief What a scheduler has done, for the metrics page.
struct scheduling_counters {
    std::uint64_t grants = 0;
    std::uint64_t refusals = 0;
    std::uint64_t offers_made = 0;
    std::uint64_t offers_taken = 0;
    std::uint64_t offers_declined = 0; ///< Declined by the borrower, or not answered in time.
    std::uint64_t offers_received = 0;
    std::uint64_t lapsed_leases = 0; ///< Slots that returned without a release.
    std::uint64_t adopted_slots = 0; ///< Slots learned from routers.
    std::uint64_t takeovers = 0;
};

/// @brief One team at one scheduler, for operators.
struct team_figures {
    double share = 1.0;
    double service = 0; ///< Settled and running service in this epoch.
    double virtual_service = 0;
    std::size_t waiting = 0;
    std::uint32_t remote_backlog = 0;
};

/// @brief One scheduler at one moment, for operators and the metrics page.
struct scheduler_figures {
    scheduling_counters counters;
    std::size_t waiting = 0;
    std::size_t busy = 0;
    std::uint32_t slots = 0;
    bool rebuilding = false;
    std::map<core::team_id, team_figures> teams;
};

} // namespace hibiscusfall::scheduling
