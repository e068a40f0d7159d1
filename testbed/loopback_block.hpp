#pragma once

#include <cstdint>
#include <string>

namespace hibiscusfall::testbed
{

/// @brief A block of 254 loopback addresses that no other run uses at the same time.
/// @remarks The block is chosen from the process id and held by a listening socket on its last address.
class loopback_block
{
public:
    loopback_block();
    ~loopback_block();
    loopback_block(const loopback_block&) = delete;
    loopback_block& operator=(const loopback_block&) = delete;

    /// @brief One address of the block.
    /// @param number 1..253
    [[nodiscard]] std::string host(int number) const;

private:
    std::uint32_t base = 0; ///< The block's first address, in host byte order.
    int holder = -1;
};

/// @brief A TCP port that was free on an address a moment ago.
[[nodiscard]] std::uint16_t find_free_port(const std::string& host);

} // namespace hibiscusfall::testbed
