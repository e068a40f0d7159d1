#include "hibiscusfall/peers/copy_source.hpp"

#include <xxhash.h>

namespace hibiscusfall::peers
{

namespace
{

std::uint64_t rank(const copy_requester& requester, const copy_candidate& candidate)
{
    const auto seed = XXH64(requester.name.data(), requester.name.size(), candidate.list_revision);
    return XXH64(candidate.name.data(), candidate.name.size(), seed);
}

} // namespace

std::optional<std::size_t> choose_copy_source(const copy_requester& requester,
                                              std::span<const copy_candidate> candidates)
{
    std::optional<std::size_t> best;
    const bool far = requester.is_hub || requester.time_behind >= requester.hub_fetch_time;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& each = candidates[i];
        if (!each.own_domain && !far) {
            continue;
        }
        if (!best) {
            best = i;
            continue;
        }
        const auto& chosen = candidates[*best];
        const bool better = each.own_domain != chosen.own_domain ? each.own_domain
                            : each.list_revision != chosen.list_revision
                                ? each.list_revision > chosen.list_revision
                                : rank(requester, each) < rank(requester, chosen);
        best = better ? i : *best;
    }
    return best;
}

} // namespace hibiscusfall::peers
