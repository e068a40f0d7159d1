#include "hibiscusfall/operators/table.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

namespace hibiscusfall::operators
{

namespace
{

bool is_number(std::string_view text)
{
    return !text.empty() && text.find_first_not_of("0123456789.+-%") == std::string_view::npos;
}

/// A column is set to the right when every cell in it is a number or a dash.
bool is_numeric(const table& value, std::size_t column)
{
    return !value.rows.empty() &&
           std::all_of(value.rows.begin(), value.rows.end(), [column](const std::vector<std::string>& row) {
               return is_number(row[column]) || row[column] == "-";
           });
}

std::size_t width_of(const table& value, std::size_t column)
{
    std::size_t width = value.columns[column].size();
    for (const auto& row : value.rows) {
        width = std::max(width, row[column].size());
    }
    return width;
}

struct column_layout {
    std::size_t width = 0;
    bool right = false;
};

void append_row(std::string& out,
                const std::vector<std::string>& cells,
                const std::vector<column_layout>& layout)
{
    constexpr std::string_view gap = "  ";
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        const std::string padding(layout[column].width - cells[column].size(), ' ');
        line += column == 0 ? "" : gap;
        line += layout[column].right ? padding + cells[column] : cells[column] + padding;
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
}

} // namespace

std::string to_text(const table& value)
{
    std::vector<column_layout> layout;
    layout.reserve(value.columns.size());
    for (std::size_t column = 0; column < value.columns.size(); ++column) {
        layout.push_back({.width = width_of(value, column), .right = is_numeric(value, column)});
    }
    std::string out;
    append_row(out, value.columns, layout);
    for (const auto& row : value.rows) {
        append_row(out, row, layout);
    }
    for (const auto& note : value.notes) {
        out += "note: " + note + "\n";
    }
    return out;
}

std::string format_number(double value)
{
    std::array<char, 48> digits{};
    std::snprintf(digits.data(), digits.size(), "%.3f", value);
    std::string text = digits.data();
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) {
        text.pop_back();
    }
    return text == "-0" ? "0" : text;
}

} // namespace hibiscusfall::operators
