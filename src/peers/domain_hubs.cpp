#include "hibiscusfall/peers/domain_hubs.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace hibiscusfall::peers
{

namespace
{

/// Sort key of a candidate: the one with the most CPU first, ties broken by a hash of the name, which is the
/// same on all instances.
std::tuple<double, std::uint64_t> rank(const hub_candidate& candidate)
{
    constexpr std::uint64_t seed = 2;
    return {-candidate.cpu_cores, XXH64(candidate.name.data(), candidate.name.size(), seed)};
}

} // namespace

std::optional<std::size_t> choose_hub(std::span<const hub_candidate> domain)
{
    core::instant newest{};
    for (const auto& candidate : domain) {
        newest = std::max(newest, candidate.last_heard);
    }
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < domain.size(); ++i) {
        const auto& candidate = domain[i];
        // Ages are compared with the domain's newest report, not with the clock: a network partition makes
        // the reports of all candidates old at once.
        if (candidate.name.empty() || candidate.leaving || candidate.failed_as_hub ||
            newest - candidate.last_heard > hub_timeout) {
            continue;
        }
        if (!best || rank(candidate) < rank(domain[*best])) {
            best = i;
        }
    }
    return best;
}

} // namespace hibiscusfall::peers
