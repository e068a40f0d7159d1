#pragma once

#include "hibiscusfall/dispatch/crash_attribution.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace hibiscusfall::dispatch::detail
{

/// @brief Whether an answer shows that a trait did not cause a crash at @p crashed_at.
[[nodiscard]] bool
is_exonerated(const crash_attribution& state, std::uint64_t trait, core::instant crashed_at);

/// @brief Whether one sorted range contains all elements of another one.
[[nodiscard]] bool contains_all(std::span<const std::uint64_t> sorted,
                                std::span<const std::uint64_t> sorted_part);

/// @brief Number of the suspects' crashes; those within @c common_crash_window count as one.
[[nodiscard]] std::uint32_t count_separate_crashes(std::span<const crash_suspect* const> suspects);

/// @brief Derives causes from the suspects: the trait with the most crashes first; the crashes that it
/// explains do not count against other traits.
[[nodiscard]] std::vector<crash_cause> derive_causes(const crash_attribution& state);

} // namespace hibiscusfall::dispatch::detail
