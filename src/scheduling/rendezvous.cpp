#include "hibiscusfall/scheduling/rendezvous.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>

namespace hibiscusfall::scheduling
{

core::instance_id choose_holder(std::span<const core::instance_id> candidates, std::string_view role)
{
    core::instance_id best;
    std::uint64_t best_weight = 0;
    std::string text;
    for (const auto& candidate : candidates) {
        text.assign(role);
        text += '\0';
        text += candidate.view();
        const std::uint64_t weight = XXH3_64bits(text.data(), text.size());
        if (best.empty() || weight > best_weight || (weight == best_weight && candidate < best)) {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

std::uint32_t count_shards(std::size_t endpoints) noexcept
{
    constexpr std::size_t endpoints_per_shard = 64;
    return static_cast<std::uint32_t>(1 + endpoints / endpoints_per_shard);
}

std::uint32_t choose_shard(const core::endpoint_id& endpoint, std::uint32_t shards) noexcept
{
    const auto hash = XXH3_64bits(endpoint.view().data(), endpoint.view().size());
    return static_cast<std::uint32_t>(hash % std::max(shards, 1U));
}

std::uint32_t part_of_slots(std::span<const core::instance_id> instances,
                            const core::instance_id& self,
                            const core::endpoint_id& endpoint,
                            std::uint32_t slots)
{
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(instances.size(), 1));
    const auto weight_of = [&](const core::instance_id& id) {
        const auto text = endpoint.str() + '\0' + id.str();
        return XXH3_64bits(text.data(), text.size());
    };
    const auto own_weight = weight_of(self);
    std::uint32_t rank = 0;
    for (const auto& id : instances) {
        rank += id != self && weight_of(id) > own_weight ? 1 : 0;
    }
    return slots / count + (rank < slots % count ? 1 : 0);
}

} // namespace hibiscusfall::scheduling
