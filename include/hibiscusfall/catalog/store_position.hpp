#pragma once

#include <compare>
#include <cstdint>

namespace hibiscusfall::catalog
{

/// @brief A point in the history of the store.
/// @remarks A store that is restored from a copy starts a new era and gives out revisions again, so a
/// revision says nothing without its era.
struct store_position {
    std::uint64_t era = 0; ///< Zero when the store or the reporting instance states none.
    std::uint64_t revision = 0;

    [[nodiscard]] friend auto operator<=>(const store_position&, const store_position&) = default;
};

} // namespace hibiscusfall::catalog
