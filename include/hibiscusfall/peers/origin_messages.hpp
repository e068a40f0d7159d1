#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hibiscusfall::peers
{

/// @brief The origin of a stream that the sender relays.
struct origin_entry {
    std::uint64_t stream = 0; ///< dispatch::stream_tag
    std::string service{};
    std::string version{};
    std::uint32_t moves = 0;
    std::uint32_t left_ms = 0; ///< Time until the stream's deadline.
    MSGPACK_DEFINE(stream, service, version, moves, left_ms)
};

/// @brief Asks the receiver to store origins, as the sender cannot write to the store.
struct origin_request {
    std::uint32_t format = 1;
    std::vector<origin_entry> origins{};
    MSGPACK_DEFINE(format, origins)
};

/// @brief An origin that the sender of a receipt has found or written in the store.
struct stored_entry {
    std::uint64_t stream = 0;
    std::uint32_t moves = 0;
    MSGPACK_DEFINE(stream, moves)
};

/// @brief Answers a request as far as the origins are stored. Without it they are handed over again.
struct origin_receipt {
    std::uint32_t format = 1;
    std::uint64_t lease = 0; ///< Under which the store has them; zero if the sender does not know it.
    std::vector<stored_entry> origins{};
    MSGPACK_DEFINE(format, lease, origins)
};

[[nodiscard]] std::string encode(const origin_request& request);
[[nodiscard]] std::string encode(const origin_receipt& receipt);

/// @brief Decodes a request; returns nothing if the bytes are not exactly one of a known format.
[[nodiscard]] std::optional<origin_request> decode_origin_request(std::span<const char> bytes);

/// @brief Decodes a receipt; returns nothing if the bytes are not exactly one of a known format.
[[nodiscard]] std::optional<origin_receipt> decode_origin_receipt(std::span<const char> bytes);

} // namespace hibiscusfall::peers
