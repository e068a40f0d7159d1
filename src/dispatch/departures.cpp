#include "hibiscusfall/dispatch/departures.hpp"

namespace hibiscusfall::dispatch
{

bool record_departure(departures& known, endpoint_tag endpoint, core::instant now)
{
    return known.announced_at.try_emplace(endpoint, now).second;
}

bool is_departing(const departures& known, endpoint_tag endpoint)
{
    return known.announced_at.contains(endpoint);
}

void expire_departures(departures& known, core::instant now)
{
    std::erase_if(known.announced_at,
                  [now](const auto& each) { return now - each.second > departure_retention; });
}

} // namespace hibiscusfall::dispatch
