#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusfall::core
{

/// @brief A network address: host and port.
struct address {
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] explicit operator bool() const noexcept { return this->port != 0; }
    [[nodiscard]] friend auto operator<=>(const address&, const address&) = default;
};

/// @brief Parses "host:port", for example "127.0.0.1:8080".
/// @returns nullopt if the text is malformed or the port is not in 1..65535.
[[nodiscard]] std::optional<address> parse_address(std::string_view text);

/// @brief Formats an address as "host:port".
[[nodiscard]] std::string to_string(const address& value);

} // namespace hibiscusfall::core
