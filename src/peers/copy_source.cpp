#include "hibiscusfall/peers/copy_source.hpp"

#include <xxhash.h>

namespace hibiscusfall::peers
{

namespace
{

std::uint64_t rank(const copy_requester& requester, const copy_candidate& candidate)
{
    const auto seed = XXH64(requester.name.data(), requester.name.size(), candidate.list_position.revision);
    return XXH64(candidate.name.data(), candidate.name.size(), seed);
}

} // namespace

std::optional<std::size_t> choose_copy_source(const copy_requester& requester,
                                              std::span<const copy_candidate> candidates)
{
    std::optional<std::size_t> best;
    const bool may_leave_domain = requester.is_hub || requester.time_behind >= requester.hub_fetch_time;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& candidate = candidates[i];
        if (!candidate.own_domain && !may_leave_domain) {
            continue;
        }
        if (!best) {
            best = i;
            continue;
        }
        const auto& best_candidate = candidates[*best];
        const bool better = candidate.last_resort != best_candidate.last_resort ? !candidate.last_resort
                            : candidate.own_domain != best_candidate.own_domain ? candidate.own_domain
                            : candidate.list_position != best_candidate.list_position
                                ? candidate.list_position > best_candidate.list_position
                                : rank(requester, candidate) < rank(requester, best_candidate);
        best = better ? i : *best;
    }
    return best;
}

} // namespace hibiscusfall::peers
