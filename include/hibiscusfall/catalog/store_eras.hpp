#pragma once

#include <cstdint>

namespace hibiscusfall::catalog
{

/// @brief The eras of the store that one instance has seen.
struct store_eras {
    std::uint64_t current = 0; ///< The highest one; zero until one was seen.
    bool seen = false;
    std::uint64_t restorations = 0; ///< Rises of the era since the first one was seen.
};

/// @brief How an era relates to those seen before.
enum class era_relation : std::uint8_t {
    same,    ///< The current one, or the first one seen.
    earlier, ///< Of a late answer.
    restored ///< The store was restored from a copy.
};

/// @brief Records the era of an answer.
[[nodiscard]] era_relation record_era(store_eras& eras, std::uint64_t era) noexcept;

} // namespace hibiscusfall::catalog
