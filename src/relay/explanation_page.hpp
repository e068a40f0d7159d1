#pragma once

#include "page_server.hpp"

#include "hibiscusfall/relay/relay_server.hpp"

#include <optional>
#include <string_view>

namespace hibiscusfall::relay::detail
{

/// @brief The query of a request for an explanation; nothing if the target is that of another page.
[[nodiscard]] std::optional<std::string_view> explanation_query(std::string_view target);

/// @brief Explains as JSON what would happen to the request that a query describes.
[[nodiscard]] page explanation_page(const relay_server& server, std::string_view query);

} // namespace hibiscusfall::relay::detail
