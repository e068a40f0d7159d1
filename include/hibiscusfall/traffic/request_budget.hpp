#pragma once

namespace hibiscusfall::traffic
{

/// @brief Bounds extra sends (retries, hedges) to a fraction of the requests, with a small reserve.
/// @remarks Over any span, the extra sends are at most reserve + fraction x requests.
struct request_budget {
    double fraction = 0.1; ///< Extra sends earned by each request, 0..1.
    double reserve = 10.0; ///< Most that is saved up.
    double available = 10.0;
};

/// @brief Makes a budget whose reserve is full.
[[nodiscard]] request_budget make_budget(double fraction, double reserve) noexcept;

/// @brief Notes a request of a caller.
void earn(request_budget& budget) noexcept;

/// @brief Takes one extra send out of the budget.
/// @returns Whether there was one.
[[nodiscard]] bool spend(request_budget& budget) noexcept;

} // namespace hibiscusfall::traffic
