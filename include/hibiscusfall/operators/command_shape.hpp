#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::operators
{

/// @brief One option of a command: "key value".
struct option_shape {
    std::string_view key;
    std::string_view value; ///< What the value is, for the help, for example "NUMBER".
    bool required = false;
    std::string_view help;
};

/// @brief One command of the language and its help.
struct command_shape {
    std::string_view verb;
    std::string_view noun;
    bool takes_name = false;
    std::vector<option_shape> options;
    std::string_view help;
    std::string_view example;
};

/// @brief Every command, in the order of the help.
[[nodiscard]] std::span<const command_shape> command_shapes();

/// @brief The usage line of a command, for example "alter team NAME [share NUMBER]".
[[nodiscard]] std::string usage_of(const command_shape& shape);

/// @brief The help on all commands, or on those that have @p topic as verb or noun.
[[nodiscard]] std::string help_text(std::string_view topic);

/// @brief The known word nearest to a mistyped one.
/// @returns An empty text when none is near.
[[nodiscard]] std::string_view suggest(std::string_view typed, std::span<const std::string_view> known);

} // namespace hibiscusfall::operators
