#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <array>
#include <cstdint>

namespace hibiscusfall::dispatch
{

/// @brief Bounds of what a service's endpoints may get beyond the first send of each request, over the fleet.
struct repeat_limits {
    double ratio = 0.2; ///< Repeats for each request.
    double slack = 50;  ///< Repeats in a window whatever the number of requests, for the whole fleet.
    core::duration window = std::chrono::seconds{10};
};

/// @brief This instance's part of a service's budget of repeats.
/// @remarks The ratio holds for each instance by its own requests, and the slack is divided by the instances,
/// so that the sum keeps within the whole without asking anyone.
struct repeat_budget {
    static constexpr std::size_t steps = 20;
    std::array<std::uint32_t, steps> requests{};
    std::array<std::uint32_t, steps> repeats{};
    std::size_t step = 0;
    core::instant step_begun{};
};

/// @brief Notes the first send of a request.
void note_request(repeat_budget& budget, const repeat_limits& limits, core::instant now);

/// @brief Takes one repeat out of the budget.
/// @param instances Most instances that may be sharing it.
/// @returns False when this instance's part is used up.
[[nodiscard]] bool
take_repeat(repeat_budget& budget, const repeat_limits& limits, std::uint32_t instances, core::instant now);

} // namespace hibiscusfall::dispatch
