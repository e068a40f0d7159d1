#include "hibiscusfall/peers/copy_source.hpp"

#include <xxhash.h>

namespace hibiscusfall::peers
{

namespace
{

std::uint64_t rank(const copy_seeker& seeker, const copy_candidate& candidate)
{
    const auto seed = XXH64(seeker.name.data(), seeker.name.size(), candidate.list_revision);
    return XXH64(candidate.name.data(), candidate.name.size(), seed);
}

} // namespace

std::optional<std::size_t> choose_source(const copy_seeker& seeker, std::span<const copy_candidate> ahead)
{
    std::optional<std::size_t> best;
    const bool far = seeker.is_hub || seeker.behind >= seeker.local_wait;
    for (std::size_t i = 0; i < ahead.size(); ++i) {
        const auto& each = ahead[i];
        if (!each.own_domain && !far) {
            continue;
        }
        if (!best) {
            best = i;
            continue;
        }
        const auto& chosen = ahead[*best];
        const bool better = each.own_domain != chosen.own_domain ? each.own_domain
                            : each.list_revision != chosen.list_revision
                                ? each.list_revision > chosen.list_revision
                                : rank(seeker, each) < rank(seeker, chosen);
        best = better ? i : *best;
    }
    return best;
}

} // namespace hibiscusfall::peers
