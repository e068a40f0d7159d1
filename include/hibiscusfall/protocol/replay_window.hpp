#pragma once

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace hibiscusfall::protocol
{

/// @brief Recognises datagrams of one sender that were accepted already, or are too old to tell.
struct replay_window {
    static constexpr std::size_t width = 1024; ///< Sequence numbers that are remembered.

    std::uint64_t incarnation = 0;
    std::uint64_t newest = 0;
    std::bitset<width> seen;

    /// @brief Whether a datagram is new; remembers it when it is.
    [[nodiscard]] bool accept(std::uint64_t sender_incarnation, std::uint64_t sequence);
};

} // namespace hibiscusfall::protocol
