#pragma once

#include "hibiscusfall/catalog/store_position.hpp"
#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusfall::catalog
{

/// @brief An endpoint's registration.
struct endpoint {
    core::endpoint_id id;
    core::service_id service;
    core::address address;
    core::failure_domain_id domain;
    std::uint32_t slots = 0;
    bool draining = false;
    std::int64_t start_time_ms =
        0; ///< Unix time of its start; a different value for the same id indicates a restart.

    [[nodiscard]] friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// @brief The registered endpoints, synchronized from the store.
/// @remarks Entries that disappear during a store outage are kept for a grace period: their leases may have
/// expired in the store although the endpoints are alive and will register again.
struct endpoint_list {
    std::map<std::string, endpoint> entries; ///< By store key.
    store_position position;                 ///< Of the store that the entries reflect.
    std::set<std::string>
        invalid_keys; ///< Keys whose value could not be parsed, so that each is logged once.
    std::map<std::string, core::instant>
        pending_removals;                    ///< Entries missing from the store, and when to remove them.
    store_position position_before_removals; ///< Before the first pending removal.
};

/// @brief The position up to which the list matches the store.
/// @remarks Lower than @c position while removals are pending, so that the list of a peer that has removed
/// the entries counts as newer; not lower in era, as all instances learn of a new era alike.
[[nodiscard]] store_position confirmed_position(const endpoint_list& list) noexcept;

/// @brief Enters a new era: what was read in earlier ones is older than any reading in this one. Does nothing
/// in the same or a later era.
void begin_era(endpoint_list& list, std::uint64_t era) noexcept;

/// @brief Records that the list matches the store at @p position, as a peer with an equal list reports.
void confirm(endpoint_list& list, store_position position) noexcept;

/// @brief A change of one entry; without a value the entry was removed or could not be parsed.
struct entry_change {
    std::string key;
    std::optional<endpoint> value;
    bool removed = false; ///< Whether the entry was removed, as opposed to malformed.
};

/// @brief Applies changes; does nothing if @p position is older than that of the list.
/// @param remove_at Until when entries missing from the store are kept, see @c removal_deadline.
/// @returns Whether anything other than the position changed.
bool apply_changes(endpoint_list& list,
                   const std::vector<entry_change>& changes,
                   store_position position,
                   core::instant remove_at,
                   core::instant now);

/// @brief Applies a complete listing: entries that it lacks count as removed.
bool apply_snapshot(endpoint_list& list,
                    const std::vector<entry_change>& snapshot,
                    store_position position,
                    core::instant remove_at,
                    core::instant now);

/// @brief Removes the entries whose grace period has expired.
/// @returns Whether any entry was removed.
bool remove_expired(endpoint_list& list, core::instant now);

} // namespace hibiscusfall::catalog
