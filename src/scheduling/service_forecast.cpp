#include "hibiscusfall/scheduling/service_forecast.hpp"

#include <cmath>

namespace hibiscusfall::scheduling
{

double service_at(const service_forecast& from, core::instant now) noexcept
{
    return from.service + from.rate * core::seconds_between(from.at, now);
}

void measure_service(service_forecast& target, double service, core::instant now, core::duration memory)
{
    const double span = core::seconds_between(target.at, now);
    if (span <= 0) {
        return;
    }
    if (target.at != core::instant{}) {
        const double weight = 1 - std::exp(-span / std::chrono::duration<double>(memory).count());
        target.rate += weight * ((service - target.service) / span - target.rate);
    }
    target.service = service;
    target.at = now;
}

} // namespace hibiscusfall::scheduling
