#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusfall::encoding
{

/// @brief Encodes a text for use as a value in the query of a URL (RFC 3986).
/// @remarks Slashes stay, which a query allows; a space becomes "%20", not "+".
///
/// @code
/// to_percent("a&b/c"); // "a%26b/c"
/// @endcode
[[nodiscard]] std::string to_percent(std::string_view text);

/// @brief Decodes such a value.
/// @returns Nothing when a '%' is not followed by two hexadecimal digits.
[[nodiscard]] std::optional<std::string> from_percent(std::string_view text);

} // namespace hibiscusfall::encoding
