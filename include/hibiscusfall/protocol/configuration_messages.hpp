#pragma once

#include <cstdint>

namespace hibiscusfall::protocol
{

/// @brief Says that the sender has a higher configuration revision in force.
struct configuration_notice {
    std::uint64_t revision = 0;
};

} // namespace hibiscusfall::protocol
