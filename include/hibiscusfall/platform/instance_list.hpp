#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::platform
{

/// @brief One instance or endpoint in the platform's list.
struct listed_entry {
    std::string id;
    bool endpoint = false;
    core::address inner; ///< Of an instance.
    bool leaving = false;
};

/// @brief The edge to the platform's lagging list. Another dialect is another function.
struct instance_list_port {
    /// @brief Reads the list; blocks.
    /// @param reason Receives why there is none.
    std::function<std::optional<std::vector<listed_entry>>(std::string& reason)> read;
};

/// @brief Reads GET /instances: [{"id", "inner", "state"}] and [{"id", "endpoint": true, "state"}].
[[nodiscard]] instance_list_port make_http_instance_list(const core::address& platform,
                                                         core::duration timeout);

/// @brief Reads the JSON text of the list. Entries that are malformed are left out.
/// @returns Nothing when the text is no JSON list.
[[nodiscard]] std::optional<std::vector<listed_entry>> parse_instance_list(std::string_view text,
                                                                           std::string& reason);

} // namespace hibiscusfall::platform
