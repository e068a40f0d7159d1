#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace hibiscusfall::scheduling
{

/// @brief A waiting ticket is named by its router's start and number.
struct ticket_key {
    core::instance_id router;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    [[nodiscard]] friend auto operator<=>(const ticket_key&, const ticket_key&) = default;
};

/// @brief A ticket in the queue.
struct waiting_ticket {
    ticket_key key;
    core::team_id team;
    double hint = 0;           ///< Cost as its router expects it; names the estimate.
    double cost = 0;           ///< Cost as learned from earlier requests.
    core::duration run_time{}; ///< Expected time in the slot; zero when unknown.
    bool is_long = false;
    std::uint64_t prefix = 0;
    std::vector<core::endpoint_id> excluded;
    core::instant opened{}; ///< When its request arrived at the router.
    core::instant deadline{};
};

} // namespace hibiscusfall::scheduling
