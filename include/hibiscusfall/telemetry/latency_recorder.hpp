#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <memory>
#include <vector>

namespace hibiscusfall::telemetry
{

/// @brief One bucket of a cumulative histogram.
struct latency_bucket {
    double upper_seconds = 0;           ///< Inclusive upper bound.
    std::uint64_t cumulative_count = 0; ///< Number of values up to the bound.
};

/// @brief A copy of a recorder's histogram at one point in time.
struct latency_snapshot {
    std::vector<latency_bucket>
        buckets; ///< In ascending order; values above the last bound are in no bucket.
    std::uint64_t count = 0;
    double sum_seconds = 0;

    /// @brief The smallest bucket bound that at least @p fraction of the values do not exceed, in seconds.
    /// @returns Zero if nothing was recorded; the last bound if the quantile lies above it.
    [[nodiscard]] double quantile(double fraction) const noexcept;
};

/// @brief Thread-safe histogram of durations from 0.1 ms to 1,000 s with logarithmic buckets.
///
/// @code
/// latency_recorder first_byte;
/// first_byte.record(elapsed(sent, now));
/// const auto p95 = first_byte.snapshot().quantile(0.95);
/// @endcode
class latency_recorder
{
public:
    /// @param buckets_per_decade Buckets per power of ten; with 10, each bound is about 26 % above the
    /// previous.
    explicit latency_recorder(unsigned buckets_per_decade = 10);
    ~latency_recorder();
    latency_recorder(const latency_recorder&) = delete;
    latency_recorder& operator=(const latency_recorder&) = delete;

    void record(core::duration value);

    [[nodiscard]] latency_snapshot snapshot() const;

private:
    struct counts;
    std::unique_ptr<counts> data;
};

} // namespace hibiscusfall::telemetry
