#pragma once

#include "hibiscusfall/dispatch/prompt.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief What crashes can be attributed to in a request.
/// @remarks Ids of segments and digests are both 64 bits of a hash, and are compared as one kind of id.
struct request_traits {
    std::vector<std::uint64_t> segments; ///< Sorted; segments of its prompt that other requests may share.
    std::optional<std::uint64_t> digest; ///< Of the whole request; empty where it is not known.
};

/// @brief The traits of a request without its digest.
/// @param generation Null for plain services. Its last segment is left out, as no other request has it.
[[nodiscard]] request_traits traits_of(const prompt* generation);

} // namespace hibiscusfall::dispatch
