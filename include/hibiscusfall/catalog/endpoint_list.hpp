#pragma once

#include "hibiscusfall/catalog/restoration.hpp"
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
    std::string software_version{}; ///< Empty if the entry states none that can be read.
    core::duration cold_left{};     ///< Time for which the entry states that the endpoint stays cold.
    core::instant cold_until{}; ///< @c cold_left from when this statement was first read; not set for zero.

    [[nodiscard]] friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// @brief The registered endpoints, synchronized from the store.
/// @remarks Entries that disappear during a store outage are kept for a grace period: their leases may have
/// expired in the store although the endpoints are alive and will register again.
/// After a restoration of the store from a copy, what the copy would undo is withheld for @c settling_time: a
/// known entry that it lacks is kept as after an outage, a draining endpoint stays draining, one that was
/// removed stays out, and a restarted one keeps its later start. Then the word of the store holds.
struct endpoint_list {
    std::map<std::string, endpoint> entries; ///< By store key.
    store_position position;                 ///< Of the store that the entries reflect.
    std::set<std::string>
        invalid_keys; ///< Keys whose value could not be parsed, so that each is logged once.
    std::map<std::string, core::instant>
        pending_removals;                     ///< Entries missing from the store, and when to remove them.
    store_position position_before_removals;  ///< Before the first pending removal.
    std::optional<core::instant> restored_at; ///< When a restoration was first seen; empty once settled.
    std::map<std::string, endpoint> withheld; ///< Entries as the store shows them, in force once settled.
    std::map<std::string, recent_removal> recent_removals; ///< By store key.
};

/// @brief The position up to which the list matches the store.
/// @remarks Lower than @c position while removals are pending, so that the list of a peer that has removed
/// the entries counts as newer; not lower in era, as all instances learn of a new era alike.
[[nodiscard]] store_position confirmed_position(const endpoint_list& list) noexcept;

/// @brief Enters a new era: what was read in earlier ones is older than any reading in this one. Does nothing
/// in the same or a later era. Begins the settling period unless the list reflects no store yet.
void begin_era(endpoint_list& list, std::uint64_t era, core::instant now) noexcept;

/// @brief Whether the store was restored so recently that it may show what is older than what was known.
[[nodiscard]] bool is_settling(const endpoint_list& list, core::instant now) noexcept;

/// @brief Records that the list matches the store at @p position, as a peer with an equal list reports.
void confirm(endpoint_list& list, store_position position, core::instant now) noexcept;

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

/// @brief Removes the entries whose grace period has expired, and puts withheld ones into force at the end of
/// the settling period.
/// @returns Whether any entry changed.
bool apply_deadlines(endpoint_list& list, core::instant now);

} // namespace hibiscusfall::catalog
