#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/prefix_cache.hpp"

#include <unordered_map>

namespace hibiscusfall::dispatch
{

/// @brief Endpoints that announced their shutdown in an answer to this instance or to a peer.
/// @remarks Takes precedence over the endpoint list, which may be older than the answer. A restarted endpoint
/// has a different tag.
struct departures {
    std::unordered_map<endpoint_tag, core::instant> announced_at; ///< When this instance learned of it.
};

/// @brief How long a departure is remembered. An endpoint may keep serving "at times many seconds" beyond its
/// drain time (PROTOCOL.md); its list entry is removed when it stops.
inline constexpr core::duration departure_retention = std::chrono::seconds{60};

/// @returns True if the departure was not known yet.
bool record_departure(departures& known, endpoint_tag endpoint, core::instant now);

[[nodiscard]] bool is_departing(const departures& known, endpoint_tag endpoint);

/// @brief Removes departures older than @c departure_retention.
void expire_departures(departures& known, core::instant now);

} // namespace hibiscusfall::dispatch
