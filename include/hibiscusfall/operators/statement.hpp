#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hibiscusfall::operators
{

/// @brief A line of the command language, cut into words.
struct statement {
    std::vector<std::string> words; ///< Quoted words without their quotes.
};

/// @brief Where and why a line cannot be cut into words.
struct syntax_error {
    std::size_t column = 0; ///< Counted from 1.
    std::string message;
};

/// @brief Cuts a line into words. Words are separated by blanks; a word with blanks stands in double
/// quotes, in which \" and \\ stand for themselves. A # outside quotes starts a comment.
///
/// @code
/// parse_statement("create team huts share 2 token \"a b\"");
/// @endcode
[[nodiscard]] std::variant<statement, syntax_error> parse_statement(std::string_view line);

} // namespace hibiscusfall::operators
