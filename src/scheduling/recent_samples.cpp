#include "hibiscusfall/scheduling/recent_samples.hpp"

#include <algorithm>

namespace hibiscusfall::scheduling
{

namespace
{

constexpr std::size_t enough_samples = 3;

} // namespace

void note_sample(recent_samples& window, std::uint64_t request, double value, core::instant now)
{
    auto& samples = window.samples;
    const auto known = std::find_if(
        samples.begin(), samples.end(), [&](const auto& sample) { return sample.request == request; });
    if (known != samples.end()) {
        known->value = value;
        known->updated = now;
        return;
    }
    if (samples.size() >= window.capacity) {
        samples.erase(samples.begin());
    }
    samples.push_back({.request = request, .value = value, .updated = now});
}

std::optional<double> median_of(const recent_samples& window, core::instant oldest)
{
    std::vector<double> values;
    for (const auto& sample : window.samples) {
        if (sample.updated > oldest) {
            values.push_back(sample.value);
        }
    }
    if (values.size() < enough_samples) {
        return std::nullopt;
    }
    return median_of(std::move(values));
}

double median_of(std::vector<double> values) noexcept
{
    if (values.empty()) {
        return 0;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace hibiscusfall::scheduling
