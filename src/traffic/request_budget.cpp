#include "hibiscusfall/traffic/request_budget.hpp"

#include <algorithm>

namespace hibiscusfall::traffic
{

request_budget make_budget(double fraction, double reserve) noexcept
{
    return {.fraction = fraction, .reserve = reserve, .available = reserve};
}

void earn(request_budget& budget) noexcept
{
    budget.available = std::min(budget.reserve, budget.available + budget.fraction);
}

bool spend(request_budget& budget) noexcept
{
    if (budget.available < 1.0) {
        return false;
    }
    budget.available -= 1.0;
    return true;
}

} // namespace hibiscusfall::traffic
