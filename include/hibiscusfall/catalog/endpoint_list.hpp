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
/// @remarks Entries that vanish while the store is in trouble are kept for a short time: they may have lapsed
/// there and are written again by an endpoint that lives.
struct endpoint_list {
    std::map<std::string, endpoint> entries;      ///< By key.
    std::uint64_t revision = 0;                   ///< Of the store, up to which the entries are known.
    std::set<std::string> unreadable;             ///< Keys whose entry named no endpoint, logged once each.
    std::map<std::string, core::instant> lapsing; ///< Vanished entries and when they are taken as gone.
};

/// @brief How long an entry that vanished during or just after trouble of the store stays in use.
/// A live endpoint writes its entry again within two seconds of the store's return.
inline constexpr core::duration lapse_grace = std::chrono::milliseconds{2200};

/// @brief One change of an entry; no endpoint means that the entry vanished or names none.
struct entry_change {
    std::string key;
    std::optional<endpoint> now;
    bool removed = false; ///< Whether the entry is gone, rather than unreadable.
};

/// @brief Takes changes over.
/// @param store_calm Whether the store answered without trouble lately.
/// @returns Whether anything but the revision changed.
bool apply(endpoint_list& list,
           const std::vector<entry_change>& changes,
           std::uint64_t revision,
           bool store_calm,
           core::instant now);

/// @brief Takes a complete listing over.
bool replace(endpoint_list& list,
             const std::vector<entry_change>& all,
             std::uint64_t revision,
             bool store_calm,
             core::instant now);

/// @brief Drops entries whose time to return is over.
/// @returns Whether any was dropped.
bool drop_lapsed(endpoint_list& list, core::instant now);

} // namespace hibiscusfall::catalog
