#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hibiscusfall::scheduling
{

/// @brief One request's value.
struct request_sample {
    std::uint64_t request = 0; ///< Number of the request, unique within one window.
    double value = 0;
    core::instant updated{};
};

/// @brief The latest requests' values of one measure, one value per request.
///
/// Each request counts once, however often it is reported, so that a few stragglers do not outweigh the rest.
///
/// @code
/// recent_samples window{.capacity = 7};
/// note_sample(window, request, 0.050, now);
/// const auto typical = median_of(window, now - std::chrono::seconds{10});
/// @endcode
struct recent_samples {
    std::size_t capacity = 7;
    std::vector<request_sample> samples; ///< In the order of the requests' first values.
};

/// @brief Takes in a value; an earlier value of the same request is replaced.
void note_sample(recent_samples& window, std::uint64_t request, double value, core::instant now);

/// @brief The median of the values that were updated after @p oldest.
/// @returns Nothing when there are fewer than three.
[[nodiscard]] std::optional<double> median_of(const recent_samples& window, core::instant oldest);

/// @brief The median of some values; 0 when there are none.
[[nodiscard]] double median_of(std::vector<double> values) noexcept;

} // namespace hibiscusfall::scheduling
