#include "hibiscusfall/core/address.hpp"

#include <charconv>

namespace hibiscusfall::core
{

std::optional<address> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return std::nullopt;
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    return address{.host = std::string{text.substr(0, colon)}, .port = port};
}

std::string to_string(const address& value)
{
    return value.host + ":" + std::to_string(value.port);
}

} // namespace hibiscusfall::core
