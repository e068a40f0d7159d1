#pragma once

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

/// @brief An endpoint as it registered itself.
struct endpoint {
    core::endpoint_id id;
    core::service_id service;
    core::address address;
    core::failure_domain_id domain;
    std::uint32_t slots = 0;
    bool draining = false;
    std::int64_t born_ms = 0; ///< Unix time of its start; another value under the same id is a restart.

    [[nodiscard]] friend bool operator==(const endpoint&, const endpoint&) = default;
};

/// @brief The registered endpoints, kept up from reads of the store.
/// @remarks Entries that vanish during an outage of the store are kept until they have to be back: they may
/// have lapsed there and are written again by an endpoint that lives.
struct endpoint_list {
    std::map<std::string, endpoint> entries;      ///< By key.
    std::uint64_t revision = 0;                   ///< Of the store, up to which the entries are known.
    std::set<std::string> unreadable;             ///< Keys whose entry named no endpoint, logged once each.
    std::map<std::string, core::instant> lapsing; ///< Vanished entries and when they are taken as gone.
    std::uint64_t before_lapse = 0; ///< The revision before the first of the lapsing entries vanished.
};

/// @brief The revision up to which the list tells what the store held. Lower than @c revision while entries
/// are kept that the store holds no more, so that a peer that dropped them counts as newer.
[[nodiscard]] std::uint64_t settled_revision(const endpoint_list& list) noexcept;

/// @brief One change of an entry; no endpoint means that the entry vanished or names none.
struct entry_change {
    std::string key;
    std::optional<endpoint> now;
    bool removed = false; ///< Whether the entry is gone, rather than unreadable.
};

/// @brief Takes changes over.
/// @param settle_at Until when entries that vanish are kept, see @c entries_settle_at.
/// @returns Whether anything but the revision changed.
bool apply(endpoint_list& list,
           const std::vector<entry_change>& changes,
           std::uint64_t revision,
           core::instant settle_at,
           core::instant now);

/// @brief Takes a complete listing over.
bool replace(endpoint_list& list,
             const std::vector<entry_change>& all,
             std::uint64_t revision,
             core::instant settle_at,
             core::instant now);

/// @brief Drops entries whose time to return is over.
/// @returns Whether any was dropped.
bool drop_lapsed(endpoint_list& list, core::instant now);

} // namespace hibiscusfall::catalog
