#include "endpoint_eligibility.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace detail
{

namespace
{

/// Whether requests with these homes may run in a failure domain. One whose region is not known is in none.
bool is_home(const fleet_state& fleet,
             const core::failure_domain_id& domain,
             std::span<const std::string> homes)
{
    if (homes.empty()) {
        return true;
    }
    const auto region = fleet.regions.find(domain);
    return region != fleet.regions.end() &&
           std::find(homes.begin(), homes.end(), region->second) != homes.end();
}

/// Why an endpoint of the request's service is not eligible.
exclusion find_exclusion(const fleet_state& fleet,
                         const endpoint_state& state,
                         const placement_request& request,
                         fallback considered,
                         core::instant now)
{
    if (!is_suitable(state, request)) {
        return exclusion::wrong_version;
    }
    if (const auto rejection = find_rejection(fleet, state, now); rejection != exclusion::none) {
        return rejection;
    }
    if (!may_send(fleet, state, now)) {
        return exclusion::cold;
    }
    if (!is_permitted(fleet, state.entry.domain, request)) {
        return exclusion::outside_homes;
    }
    if (std::find(request.excluded.begin(), request.excluded.end(), state.tag) != request.excluded.end()) {
        return exclusion::tried_before;
    }
    if (state.max_connections > 0 && state.model.own_requests >= state.max_connections) {
        return exclusion::connection_limit;
    }
    if (considered == fallback::none && request.begins_stream && state.deprioritized) {
        return exclusion::deprioritized_version;
    }
    const bool ignore_health = considered == fallback::unhealthy;
    if (!ignore_health && is_suspended(state.health, now)) {
        return exclusion::suspended;
    }
    if (!ignore_health && !is_reachable(fleet, state.entry.domain, now)) {
        return exclusion::unreachable;
    }
    return exclusion::none;
}

} // namespace

bool is_suitable(const endpoint_state& state, const placement_request& request)
{
    if (!request.software_version.empty()) {
        return state.software_version == request.software_version;
    }
    return !request.begins_stream || state.begins_streams;
}

std::vector<const endpoint_state*> eligible_endpoints(const fleet_state& fleet,
                                                      const placement_request& request,
                                                      fallback considered,
                                                      core::instant now,
                                                      placement_trace* trace)
{
    std::vector<const endpoint_state*> result;
    result.reserve(fleet.endpoints.size());
    for (const auto& state : fleet.endpoints) {
        if (state.entry.service != request.service) {
            continue;
        }
        const auto reason = find_exclusion(fleet, state, request, considered, now);
        if (reason == exclusion::none) {
            result.push_back(&state);
        }
        if (trace != nullptr) {
            // Endpoints that are scored get their result then.
            trace->endpoints.push_back(
                {.endpoint = state.tag,
                 .reason = reason == exclusion::none ? exclusion::not_sampled : reason});
        }
    }
    return result;
}

} // namespace detail

bool is_permitted(const fleet_state& fleet,
                  const core::failure_domain_id& domain,
                  const placement_request& request)
{
    return detail::is_home(fleet, domain, request.route_homes) &&
           detail::is_home(fleet, domain, request.team_homes);
}

} // namespace hibiscusfall::dispatch
