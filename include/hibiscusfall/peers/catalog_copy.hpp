#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusfall::peers
{

/// @brief What the instance that asks for a copy knows already. Sent as it is, in the byte order of the
/// machines.
struct known_catalog {
    std::uint64_t table_version = 0;
    std::uint64_t list_digest = 0;
};

/// @brief What an instance has read from the store, as it stands there, for instances that do not read it.
struct catalog_copy {
    std::uint64_t table_version = 0;
    std::string table;               ///< The configuration's bytes; empty when the asker has it.
    std::uint64_t list_revision = 0; ///< Zero when the asker knows the same endpoints.
    std::vector<std::pair<std::string, std::string>> entries; ///< Keys and bytes.
    MSGPACK_DEFINE(table_version, table, list_revision, entries)
};

} // namespace hibiscusfall::peers
