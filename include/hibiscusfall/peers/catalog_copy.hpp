#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusfall::peers
{

/// @brief What an instance has read from the store, as it stands there, for instances that cannot read it.
struct catalog_copy {
    std::uint64_t table_version = 0;
    std::string table; ///< The configuration's bytes; empty for none.
    std::uint64_t list_revision = 0;
    std::vector<std::pair<std::string, std::string>> entries; ///< Keys and bytes.
    MSGPACK_DEFINE(table_version, table, list_revision, entries)
};

} // namespace hibiscusfall::peers
