#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace hibiscusfall::peers
{

/// A member without a report for this long does not count as live, and is sent only periodic probes.
inline constexpr core::duration member_timeout = std::chrono::seconds{3};

/// First byte of a datagram that asks to store origins of streams, and of one that confirms them.
inline constexpr char origin_request_message = 'O';
inline constexpr char origin_receipt_message = 'S';

/// Upper limit of reported ages; stands for an unknown age.
inline constexpr std::uint32_t unknown_age_ms = 3600000;

/// An age as a report states it.
[[nodiscard]] inline std::uint32_t to_milliseconds(core::duration age)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, unknown_age_ms));
}

} // namespace hibiscusfall::peers
