#pragma once

#include "hibiscusfall/core/instant.hpp"

namespace hibiscusfall::catalog
{

/// @brief The most recent period in which calls to the store failed, as observed by one instance.
/// @remarks During an outage the store may drop the entries of live endpoints. A single failed call does not
/// imply that: an entry is dropped only after its endpoint has missed three writes.
struct store_outage {
    core::instant began{};
    core::instant ended{}; ///< Time of the last failed call, or of the first successful one after it.
};

/// @brief Longest gap between failures of one outage: the longest interval between two calls to the store
/// plus the time that a call may take.
inline constexpr core::duration max_failure_gap = std::chrono::milliseconds{2500};

/// @brief Shortest outage in which an endpoint can lose its entry. Endpoints write every 1.2 s (DEPLOY.md,
/// heartbeat-ms) and are dropped after 3.6 s, so at least one write has to fail.
inline constexpr core::duration min_outage = std::chrono::seconds{1};

/// @brief Time after an outage within which a live endpoint registers again (PROTOCOL.md, service discovery:
/// about two seconds).
inline constexpr core::duration reregistration_grace = std::chrono::milliseconds{2200};

/// @brief Records a failed call to the store.
void record_failed_call(store_outage& outage, core::instant now) noexcept;

/// @brief Records the first successful call after failed ones.
void record_recovery(store_outage& outage, core::instant now) noexcept;

/// @brief When to remove an entry that is missing from the store; in the past if there was no recent outage.
[[nodiscard]] core::instant removal_deadline(const store_outage& outage) noexcept;

} // namespace hibiscusfall::catalog
