#include "hibiscusfall/traffic/joined_head.hpp"

#include "hibiscusfall/traffic/beast_text.hpp"

#include <algorithm>
#include <cctype>
#include <string_view>

namespace hibiscusfall::traffic
{

namespace
{

bool is_digit(char each)
{
    return std::isdigit(static_cast<unsigned char>(each)) != 0;
}

/// Whether a text starts as a status line does, as in "HTTP/1.1 200".
bool starts_with_status_line(std::string_view text)
{
    constexpr std::string_view shape = "HTTP/d.d ddd"; // each d is a digit
    return text.size() >= shape.size() &&
           std::equal(shape.begin(), shape.end(), text.begin(), [](char expected, char found) {
               return expected == 'd' ? is_digit(found) : expected == found;
           });
}

bool holds_status_line(std::string_view text)
{
    constexpr std::string_view protocol = "HTTP/";
    for (auto at = text.find(protocol); at != std::string_view::npos;
         at = text.find(protocol, at + protocol.size())) {
        if (starts_with_status_line(text.substr(at))) {
            return true;
        }
    }
    return false;
}

} // namespace

bool is_joined_head(const boost::beast::http::response_header<>& head)
{
    return holds_status_line(to_view(head.reason())) ||
           std::any_of(head.begin(), head.end(), [](const auto& field) {
               return holds_status_line(to_view(field.value()));
           });
}

} // namespace hibiscusfall::traffic
