#include "hibiscusfall/telemetry/latency_recorder.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <chrono>
#include <mutex>
#include <utility>

namespace hibiscusfall::telemetry
{

namespace
{

namespace histogram = boost::histogram;

using log_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr unsigned decades = 7; // From lowest_seconds to highest_seconds.
constexpr double lowest_seconds = 0.0001;
constexpr double highest_seconds = 1000.0;

auto make_counts(unsigned buckets_per_decade)
{
    return histogram::make_histogram_with(
        std::vector<std::uint64_t>{},
        log_axis{decades * buckets_per_decade, lowest_seconds, highest_seconds});
}

} // namespace

double latency_snapshot::quantile(double fraction) const noexcept
{
    if (this->count == 0 || this->buckets.empty()) {
        return 0;
    }
    const double target = fraction * static_cast<double>(this->count);
    for (const auto& bucket : this->buckets) {
        if (static_cast<double>(bucket.cumulative_count) >= target) {
            return bucket.upper_seconds;
        }
    }
    return this->buckets.back().upper_seconds;
}

struct latency_recorder::counts {
    explicit counts(decltype(make_counts(1)) initial) : buckets(std::move(initial)) {}

    mutable std::mutex mutex;
    decltype(make_counts(1)) buckets;
    std::uint64_t count = 0;
    double sum_seconds = 0;
};

latency_recorder::latency_recorder(unsigned buckets_per_decade)
    : data(std::make_unique<counts>(make_counts(buckets_per_decade)))
{
}

latency_recorder::~latency_recorder() = default;

void latency_recorder::record(core::duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    const std::lock_guard lock(this->data->mutex);
    this->data->buckets(seconds);
    this->data->sum_seconds += seconds;
    ++this->data->count;
}

latency_snapshot latency_recorder::snapshot() const
{
    const std::lock_guard lock(this->data->mutex);
    latency_snapshot result{
        .buckets = {}, .count = this->data->count, .sum_seconds = this->data->sum_seconds};
    const auto& axis = this->data->buckets.axis();
    std::uint64_t cumulative = this->data->buckets.at(-1);
    for (int index = 0; index < axis.size(); ++index) {
        cumulative += this->data->buckets.at(index);
        result.buckets.push_back({.upper_seconds = axis.bin(index).upper(), .cumulative_count = cumulative});
    }
    return result;
}

} // namespace hibiscusfall::telemetry
