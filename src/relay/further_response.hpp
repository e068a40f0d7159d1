#pragma once

#include "hibiscusfall/relay/dialect.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hibiscusfall::relay::detail
{

/// @brief What bytes that stand inside a response or follow it tell of its request.
enum class further_response : std::uint8_t {
    none,    ///< No response head that names the request.
    refusal, ///< Only heads that say it was not run.
    answer   ///< The head of an answer to it.
};

/// @brief Which response heads are looked for.
struct response_search {
    std::string_view request_id;
    bool any_request = false; ///< Whether heads that name another request count too.
    std::size_t starts_before = std::string_view::npos; ///< Heads from this position on count for nothing.
};

/// @brief Looks for the heads of further responses to a request.
/// @param bytes Searched from any position, as the end of a response may not be where it says.
/// @returns The strongest statement; heads that are incomplete or name no request count for nothing.
[[nodiscard]] further_response
find_further_response(std::string_view bytes, const dialect& http_dialect, const response_search& search);

} // namespace hibiscusfall::relay::detail
