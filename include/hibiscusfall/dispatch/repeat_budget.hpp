#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <array>
#include <cstdint>

namespace hibiscusfall::dispatch
{

/// @brief Fleet-wide limits on repeats: sends of a service's requests beyond the first send of each request.
struct repeat_limits {
    double ratio = 0.2; ///< Repeats allowed per request.
    double slack =
        50; ///< Repeats allowed per window regardless of the number of requests, for the whole fleet.
    core::duration window = std::chrono::seconds{10};
};

/// @brief This instance's portion of a service's repeat budget.
/// @remarks The ratio applies to each instance's own requests and the slack is divided among the instances,
/// so the sum stays within the fleet-wide limit without coordination.
struct repeat_budget {
    static constexpr std::size_t bucket_count = 20;
    std::array<std::uint32_t, bucket_count> requests{};
    std::array<std::uint32_t, bucket_count> repeats{};
    std::size_t bucket = 0;
    core::instant bucket_start{};
};

/// @brief Records the first send of a request.
void record_request(repeat_budget& budget, const repeat_limits& limits, core::instant now);

/// @brief Whether one repeat can be taken.
/// @param instances Upper bound of the instances that share the budget.
[[nodiscard]] bool
has_repeat(repeat_budget& budget, const repeat_limits& limits, std::uint32_t instances, core::instant now);

/// @brief Takes one repeat from the budget.
/// @param instances Upper bound of the instances that share the budget.
/// @returns False if this instance's portion is exhausted.
[[nodiscard]] bool try_take_repeat(repeat_budget& budget,
                                   const repeat_limits& limits,
                                   std::uint32_t instances,
                                   core::instant now);

} // namespace hibiscusfall::dispatch
