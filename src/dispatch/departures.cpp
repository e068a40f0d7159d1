#include "hibiscusfall/dispatch/departures.hpp"

namespace hibiscusfall::dispatch
{

bool note_departure(departures& known, endpoint_tag endpoint, core::instant now)
{
    return known.announced.try_emplace(endpoint, now).second;
}

bool leaves(const departures& known, endpoint_tag endpoint)
{
    return known.announced.contains(endpoint);
}

void forget_old_departures(departures& known, core::instant now)
{
    std::erase_if(known.announced, [now](const auto& each) { return now - each.second > departure_memory; });
}

} // namespace hibiscusfall::dispatch
