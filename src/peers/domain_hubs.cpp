#include "hibiscusfall/peers/domain_hubs.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace hibiscusfall::peers
{

namespace
{

/// Orders candidates: the largest first, and equal ones by a digest that all instances agree on.
std::tuple<double, std::uint64_t> rank(const hub_candidate& candidate)
{
    constexpr std::uint64_t seed = 2;
    return {-candidate.cpu_cores, XXH64(candidate.name.data(), candidate.name.size(), seed)};
}

} // namespace

std::optional<std::size_t> choose_hub(std::span<const hub_candidate> domain)
{
    core::instant newest{};
    for (const auto& each : domain) {
        newest = std::max(newest, each.last_heard);
    }
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < domain.size(); ++i) {
        const auto& each = domain[i];
        // The age of the news counts against that of its neighbours: a cut makes all of them old at once.
        if (each.name.empty() || each.leaving || each.failed_as_hub ||
            newest - each.last_heard > hub_timeout) {
            continue;
        }
        if (!best || rank(each) < rank(domain[*best])) {
            best = i;
        }
    }
    return best;
}

} // namespace hibiscusfall::peers
