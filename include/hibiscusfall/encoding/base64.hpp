#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusfall::encoding
{

/// @brief Encodes bytes as standard base64 with padding.
[[nodiscard]] std::string to_base64(std::string_view bytes);

/// @brief Decodes standard base64 with padding.
/// @returns Nothing when the text is not base64.
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

} // namespace hibiscusfall::encoding
