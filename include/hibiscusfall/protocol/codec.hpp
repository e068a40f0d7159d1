#pragma once

#include "hibiscusfall/protocol/message.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::protocol
{

/// @brief The largest datagram that is sent or accepted, in bytes.
inline constexpr std::size_t max_datagram_bytes = 8192;

/// @brief The key that all instances of a fleet share.
class shared_key
{
public:
    /// @brief Derives the key from the secret in the settings.
    [[nodiscard]] static shared_key from_secret(std::string_view secret);

    [[nodiscard]] std::span<const unsigned char> bytes() const noexcept { return this->digest; }

private:
    std::array<unsigned char, 32> digest{};
};

/// @brief Why a datagram was dropped.
enum class datagram_fault : std::uint8_t { none, oversize, truncated, forged, malformed };

/// @brief Writes a datagram: version, msgpack body, authentication tag.
/// @remarks The result may be longer than max_datagram_bytes; the caller splits its messages.
[[nodiscard]] std::vector<char> encode(const datagram& value, const shared_key& key);

/// @brief Reads a datagram that was written with the same key.
/// @param fault Receives why the bytes were not accepted.
[[nodiscard]] std::optional<datagram>
decode(std::span<const char> bytes, const shared_key& key, datagram_fault& fault);

/// @brief The size of one message on the wire, without its share of the datagram's head, in bytes.
[[nodiscard]] std::size_t encoded_size(const message& value);

/// @brief The name of a drop reason, for logs and metrics.
[[nodiscard]] std::string_view to_string(datagram_fault value) noexcept;

} // namespace hibiscusfall::protocol
