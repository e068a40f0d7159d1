#pragma once

#include <string>
#include <vector>

namespace hibiscusfall::operators
{

/// @brief An answer in rows.
struct table {
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows; ///< Each as long as the columns.
    std::vector<std::string> notes;             ///< What limits the answer, one sentence each.
};

/// @brief Writes a table for a terminal: aligned columns, numbers to the right, notes below.
[[nodiscard]] std::string to_text(const table& value);

/// @brief Writes a number with at most three decimals and no trailing zeros.
[[nodiscard]] std::string format_number(double value);

} // namespace hibiscusfall::operators
