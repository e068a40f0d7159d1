#include "hibiscusfall/dispatch/kept_parts.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

void note_part(
    kept_parts& kept, std::uint64_t part, endpoint_tag at, std::uint64_t read_total, core::instant now)
{
    auto& holders = kept.holders[part];
    for (auto& holder : holders) {
        if (holder.endpoint == at) {
            holder.read_total = std::max(holder.read_total, read_total);
            holder.used = now;
            return;
        }
    }
    holders.push_back({.endpoint = at, .read_total = read_total, .used = now});
}

void forget_old_parts(kept_parts& kept, core::instant now)
{
    for (auto& [part, holders] : kept.holders) {
        std::erase_if(holders, [now](const part_holder& each) { return each.used + part_memory < now; });
    }
    std::erase_if(kept.holders, [](const auto& each) { return each.second.empty(); });
}

void forget_endpoint(kept_parts& kept, endpoint_tag gone)
{
    for (auto& [part, holders] : kept.holders) {
        std::erase_if(holders, [gone](const part_holder& each) { return each.endpoint == gone; });
    }
    std::erase_if(kept.holders, [](const auto& each) { return each.second.empty(); });
}

kept_tokens look_up(const kept_parts& kept,
                    std::span<const prompt_part> parts,
                    endpoint_tag endpoint,
                    std::uint64_t read_total,
                    std::uint64_t memory)
{
    kept_tokens result;
    bool unbroken = true;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto found = kept.holders.find(parts[i].id);
        if (found == kept.holders.end()) {
            unbroken = false;
            continue;
        }
        const bool holds =
            std::any_of(found->second.begin(), found->second.end(), [&](const part_holder& holder) {
                return holder.endpoint == endpoint &&
                       (memory == 0 || read_total - holder.read_total < memory);
            });
        if (holds && unbroken) {
            result.kept += parts[i].tokens;
        } else {
            unbroken = false;
            // The last part belongs to one request or session; reading it again is rarely a repetition.
            if (i + 1 < parts.size()) {
                result.read_again += parts[i].tokens;
            }
        }
    }
    return result;
}

} // namespace hibiscusfall::dispatch
