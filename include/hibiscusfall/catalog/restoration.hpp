#pragma once

#include "hibiscusfall/catalog/store_outage.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <cstdint>

namespace hibiscusfall::catalog
{

/// @brief Interval at which an endpoint writes its entry (DEPLOY.md, heartbeat-ms).
inline constexpr core::duration heartbeat_interval = std::chrono::milliseconds{1200};

/// @brief Time after a restoration during which the store may show what is older than what an instance knew:
/// a live writer writes again within @c reregistration_grace, and the entry of an endpoint that has left
/// lapses after three heartbeats.
inline constexpr core::duration settling_time = 3 * heartbeat_interval + reregistration_grace;

/// @brief Largest age of the copy from which a store is restored. Operators keep one of some seconds.
inline constexpr core::duration max_copy_age = std::chrono::seconds{60};

/// @brief Maximum number of removals that are remembered.
inline constexpr std::size_t max_recent_removals = 1024;

/// @brief The last removal of an entry. A copy from before it would bring the endpoint back.
struct recent_removal {
    std::int64_t start_time_ms = 0; ///< Of the endpoint that was removed.
    core::instant removed_at{};
};

} // namespace hibiscusfall::catalog
