#pragma once

#include "hibiscusfall/relay/dialect.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hibiscusfall::relay::detail
{

/// @brief What bytes that follow a response, or stand inside it, tell of its request.
enum class further_response : std::uint8_t {
    none,    ///< No response head that names the request.
    refusal, ///< Only heads that say it was not run.
    answer   ///< The head of an answer to it.
};

/// @brief Looks for the heads of further responses to a request.
/// @param bytes Searched from any position, as a response may break off anywhere before a further one.
/// @param starts_before Position before which a head has to start.
/// @returns The strongest statement; heads that are incomplete, or name another request or none, count for
/// nothing.
[[nodiscard]] further_response find_further_response(std::string_view bytes,
                                                     const dialect& http_dialect,
                                                     std::string_view request_id,
                                                     std::size_t starts_before = std::string_view::npos);

} // namespace hibiscusfall::relay::detail
