#pragma once

#include "hibiscusfall/catalog/store_position.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusfall::peers
{

/// @brief Request for a catalog copy: what the requesting instance has already. Sent as raw memory in the
/// hosts' byte order.
struct catalog_request {
    std::uint64_t table_version = 0;
    std::uint64_t list_digest = 0;
};

/// @brief Configuration and endpoint entries as an instance read them from the store, for instances that do
/// not read it themselves.
struct catalog_copy {
    std::uint64_t table_version = 0;
    std::string table;               ///< Encoded configuration; empty if the requester has this version.
    std::uint64_t list_revision = 0; ///< Zero if the requester has the same endpoints.
    std::vector<std::pair<std::string, std::string>> entries; ///< Store keys and encoded values.
    std::uint64_t list_era = 0;        ///< Of the store; zero in a copy of an instance that knows no eras.
    std::uint64_t evacuations_era = 0; ///< Of @c evacuations_revision.
    std::uint64_t evacuations_revision = 0; ///< Zero if the evacuated domains are not known.
    std::vector<std::string> evacuated_domains{};
    MSGPACK_DEFINE(table_version,
                   table,
                   list_revision,
                   entries,
                   list_era,
                   evacuations_era,
                   evacuations_revision,
                   evacuated_domains)
};

/// @brief The position of the store that the endpoints of a copy reflect.
[[nodiscard]] inline catalog::store_position list_position(const catalog_copy& copy) noexcept
{
    return {.era = copy.list_era, .revision = copy.list_revision};
}

/// @brief The position of the store that the evacuated domains of a copy reflect.
[[nodiscard]] inline catalog::store_position evacuations_position(const catalog_copy& copy) noexcept
{
    return {.era = copy.evacuations_era, .revision = copy.evacuations_revision};
}

} // namespace hibiscusfall::peers
