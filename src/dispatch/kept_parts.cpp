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

std::vector<resolved_part> resolve(const kept_parts& kept, std::span<const prompt_part> parts)
{
    std::vector<resolved_part> result;
    result.reserve(parts.size());
    for (const auto& part : parts) {
        const auto found = kept.holders.find(part.id);
        result.push_back(
            {.tokens = part.tokens, .holders = found == kept.holders.end() ? nullptr : &found->second});
    }
    return result;
}

kept_tokens look_up(std::span<const resolved_part> parts,
                    endpoint_tag endpoint,
                    std::uint64_t read_total,
                    std::uint64_t memory)
{
    kept_tokens result;
    bool unbroken = true;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        const auto& part = parts[i];
        if (part.holders == nullptr) {
            unbroken = false;
            continue;
        }
        const bool holds =
            unbroken &&
            std::any_of(part.holders->begin(), part.holders->end(), [&](const part_holder& holder) {
                return holder.endpoint == endpoint &&
                       (memory == 0 || read_total - holder.read_total < memory);
            });
        if (holds) {
            result.kept += part.tokens;
        } else {
            unbroken = false;
            // The last part belongs to one request or session; reading it again is rarely a repetition.
            if (i + 1 < parts.size()) {
                result.read_again += part.tokens;
            }
        }
    }
    return result;
}

} // namespace hibiscusfall::dispatch
