#pragma once

#include "hibiscusfall/catalog/restoration.hpp"
#include "hibiscusfall/catalog/store_position.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <span>

namespace hibiscusfall::catalog
{

/// @brief The failure domains whose endpoints get no requests, as the operators ordered it in the store.
/// @remarks Holds what one of the instances that read the store, or a peer, has read last. While the store is
/// away nothing changes.
struct evacuations {
    std::set<core::failure_domain_id> domains; ///< Those evacuated: ordered, or kept after a restoration.
    store_position position; ///< Of the store that the domains reflect; not set while they are not known.
    std::set<core::failure_domain_id> ordered; ///< As the store, or a peer, showed them last.
    /// Domains that were evacuated when the store was restored, and until when they are kept although the
    /// store or a peer shows no order: the operators write it again.
    std::map<core::failure_domain_id, core::instant> kept_until;
};

/// @brief The order to evacuate a domain, or its end.
struct evacuation_change {
    core::failure_domain_id domain;
    bool begun = false;
};

/// @brief Largest number of domains that are taken from the store, and again of those that are kept after a
/// restoration. Fleets have some tens.
inline constexpr std::size_t max_evacuations = 1024;

/// @brief Applies all orders of the store, as listed or as a peer knows them; does nothing if @p position is
/// older than that of the known ones.
/// @returns Whether the set of domains changed.
bool apply_snapshot(evacuations& known,
                    const std::set<core::failure_domain_id>& domains,
                    store_position position,
                    core::instant now);

/// @brief Applies changes in the order of the store; does nothing if @p position is older than that of the
/// known ones.
/// @returns Whether the set of domains changed.
bool apply_changes(evacuations& known,
                   std::span<const evacuation_change> changes,
                   store_position position,
                   core::instant now);

/// @brief Ends the evacuations that were kept after a restoration, unless the store has the order again.
/// @returns Whether the set of domains changed.
bool apply_deadlines(evacuations& known, core::instant now);

} // namespace hibiscusfall::catalog
