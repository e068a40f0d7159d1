#pragma once

#include "hibiscusfall/core/instant.hpp"

namespace hibiscusfall::catalog
{

/// @brief The last stretch of time in which the store's calls failed, as one instance saw it.
/// @remarks Answers a store that drops the entries of live endpoints while it is away. A single failed call
/// says nothing of the entries: endpoints miss three of their writes before they are dropped.
struct store_outage {
    core::instant began{};
    core::instant ended{}; ///< Of the last failed call, or the first good one after it.
};

/// @brief Failures that are at most this far apart belong to one outage: the longest pause between two calls
/// of the store, and the time that one may take.
inline constexpr core::duration outage_gap = std::chrono::milliseconds{2500};

/// @brief Shortest outage in which an endpoint may lose its entry. Endpoints write every 1.2 s (DEPLOY.md,
/// heartbeat-ms) and are dropped after 3.6 s, so that one write has to fail at least.
inline constexpr core::duration least_outage = std::chrono::seconds{1};

/// @brief How long after an outage a live endpoint may take to write its entry again (PROTOCOL.md, service
/// discovery: about two seconds).
inline constexpr core::duration lapse_grace = std::chrono::milliseconds{2200};

/// @brief Notes a call that failed.
void note_failed_call(store_outage& outage, core::instant now) noexcept;

/// @brief Notes the first call that succeeds after failed ones.
void note_return(store_outage& outage, core::instant now) noexcept;

/// @brief From when on an entry that is missing is gone; in the past when the store is calm.
[[nodiscard]] core::instant entries_settle_at(const store_outage& outage) noexcept;

} // namespace hibiscusfall::catalog
