#include "hibiscusfall/peers/origin_helpers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace hibiscusfall::peers
{

namespace
{

/// Sort key of a candidate for this instance: peers whose calls succeed first, then by a hash of both names.
std::tuple<bool, std::uint64_t> rank(std::string_view own_name, const helper_candidate& candidate)
{
    const auto seed = XXH64(own_name.data(), own_name.size(), 0);
    return {candidate.store_failing, XXH64(candidate.name.data(), candidate.name.size(), seed)};
}

} // namespace

core::address choose_helper(origin_helpers& helpers,
                            std::string_view own_name,
                            std::span<const helper_candidate> candidates,
                            core::instant now)
{
    std::erase_if(helpers.excluded, [now](const auto& each) { return each.second <= now; });
    if (helpers.current && helpers.asked_at && now - *helpers.asked_at >= origin_helpers::patience) {
        helpers.excluded[helpers.current] = now + origin_helpers::exclusion_time;
        helpers.current = {};
    }
    const auto is_candidate = [&](const core::address& address) {
        return std::any_of(
            candidates.begin(), candidates.end(), [&](const auto& each) { return each.address == address; });
    };
    if (helpers.current && !is_candidate(helpers.current)) {
        helpers.current = {};
    }
    if (!helpers.current) {
        helpers.asked_at.reset();
        const helper_candidate* best = nullptr;
        for (const auto& each : candidates) {
            if (!helpers.excluded.contains(each.address) &&
                (best == nullptr || rank(own_name, each) < rank(own_name, *best))) {
                best = &each;
            }
        }
        if (best == nullptr) {
            return {};
        }
        helpers.current = best->address;
    }
    if (!helpers.asked_at) {
        helpers.asked_at = now;
    }
    return helpers.current;
}

void record_receipt(origin_helpers& helpers, const core::address& from)
{
    helpers.excluded.erase(from);
    if (helpers.current == from) {
        helpers.asked_at.reset();
    }
}

} // namespace hibiscusfall::peers
