#include "hibiscusfall/dispatch/output_lengths.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

constexpr double default_fraction = 0.5; // until a route's first answer
constexpr double learning_rate = 0.05;   // weight of one answer once 1/samples is below it

} // namespace

std::uint32_t expected_output(const output_lengths& lengths, std::string_view route, std::uint32_t most)
{
    const auto found = lengths.by_route.find(std::string{route});
    const double fraction = found == lengths.by_route.end() ? default_fraction : found->second.fraction;
    return static_cast<std::uint32_t>(fraction * most);
}

void record_output(output_lengths& lengths, std::string_view route, std::uint32_t most, std::uint64_t seen)
{
    if (most == 0) {
        return;
    }
    const double fraction = std::min(1.0, static_cast<double>(seen) / most);
    auto& learned = lengths.by_route[std::string{route}];
    ++learned.samples;
    const double weight = std::max(learning_rate, 1.0 / learned.samples);
    learned.fraction += weight * (fraction - learned.fraction);
}

} // namespace hibiscusfall::dispatch
