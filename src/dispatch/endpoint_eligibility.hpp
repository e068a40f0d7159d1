#pragma once

#include "hibiscusfall/dispatch/placement.hpp"

#include <cstdint>
#include <vector>

namespace hibiscusfall::dispatch::detail
{

/// @brief Endpoints that are considered besides the preferred ones.
enum class fallback : std::uint8_t {
    none,
    deprioritized, ///< Those of deprioritized versions, see is_deprioritized.
    unhealthy      ///< Also those that are suspended or unreachable.
};

/// @brief Whether the endpoint's software may run the request.
[[nodiscard]] bool is_suitable(const endpoint_state& state, const placement_request& request);

/// @brief Endpoints of the request's service that may get it.
/// @param trace Gets all endpoints of the service with the reason why they may not; null for none.
[[nodiscard]] std::vector<const endpoint_state*> eligible_endpoints(const fleet_state& fleet,
                                                                    const placement_request& request,
                                                                    fallback considered,
                                                                    core::instant now,
                                                                    placement_trace* trace);

} // namespace hibiscusfall::dispatch::detail
