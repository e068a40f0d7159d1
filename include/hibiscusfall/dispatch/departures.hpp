#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/kept_parts.hpp"

#include <unordered_map>

namespace hibiscusfall::dispatch
{

/// @brief Endpoints that said in an answer that they leave, here or to a peer.
/// @remarks Holds beyond what any list says: a list may be older than the answer. An endpoint that starts
/// again has another tag.
struct departures {
    std::unordered_map<endpoint_tag, core::instant> announced; ///< When this instance heard of it.
};

/// @brief How long a departure is remembered. An endpoint serves "at times many seconds" beyond its drain
/// time (PROTOCOL.md), and its entry is gone with it.
inline constexpr core::duration departure_memory = std::chrono::seconds{60};

/// @returns Whether it is news.
bool note_departure(departures& known, endpoint_tag endpoint, core::instant now);

[[nodiscard]] bool leaves(const departures& known, endpoint_tag endpoint);

/// @brief Forgets departures older than @c departure_memory.
void forget_old_departures(departures& known, core::instant now);

} // namespace hibiscusfall::dispatch
