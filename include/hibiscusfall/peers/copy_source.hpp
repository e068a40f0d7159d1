#pragma once

#include "hibiscusfall/catalog/store_position.hpp"
#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace hibiscusfall::peers
{

/// @brief An instance that has a newer catalog.
struct copy_candidate {
    std::string_view name;
    catalog::store_position list_position{};
    bool own_domain = false;  ///< Whether it is in the requester's failure domain.
    bool last_resort = false; ///< Whether it is used only if there is no other, as it did not answer.
    core::address address{};
};

/// @brief The instance that needs a newer catalog.
struct copy_requester {
    std::string_view name;
    bool is_hub = false;             ///< Whether it is the hub of its failure domain.
    core::duration time_behind{};    ///< Time since it first learned of a newer catalog.
    core::duration hub_fetch_time{}; ///< Time allowed for the hub to fetch the catalog into the domain.
    core::duration own_read_time{};  ///< Time in which it may get the catalog from the store itself.
};

/// @brief Chooses the instance from which to fetch a newer catalog.
/// @returns The index of the source; nothing if the requester should wait.
/// @remarks Limits the load when hundreds of instances learn of a change at once that only two of them have:
/// the hub of each domain fetches it from another domain, the other instances from instances of their own
/// domain, spread over the sources by a hash.
[[nodiscard]] std::optional<std::size_t> choose_copy_source(const copy_requester& requester,
                                                            std::span<const copy_candidate> candidates);

} // namespace hibiscusfall::peers
