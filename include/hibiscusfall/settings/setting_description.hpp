#pragma once

#include <string>
#include <string_view>

namespace hibiscusfall::settings
{

/// @brief One fault in a settings file.
struct settings_error {
    std::string section;
    std::string key;
    std::string message; ///< Names the value and what is allowed.
};

/// @brief Writes an error as "[section] key: message".
[[nodiscard]] std::string to_string(const settings_error& error);

/// @brief What a settings reference says of one key.
struct setting_description {
    std::string_view section;
    std::string_view key;
    std::string_view unit;
    std::string_view fallback; ///< The default; empty when the key is required or off.
    std::string_view text;
};

} // namespace hibiscusfall::settings
