#include "hibiscusfall/dispatch/prefix_cache.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

void record_segment(prefix_cache& cache,
                    std::uint64_t segment,
                    endpoint_tag at,
                    std::uint64_t sent_tokens,
                    core::instant now,
                    core::instant ready_at,
                    std::uint64_t memory)
{
    auto& holders = cache.holders[segment];
    for (auto& holder : holders) {
        if (holder.endpoint == at) {
            if (memory > 0 && sent_tokens >= holder.sent_tokens + memory) {
                holder.ready_at = ready_at; // evicted, and processed again
            }
            holder.sent_tokens = std::max(holder.sent_tokens, sent_tokens);
            holder.last_used = now;
            return;
        }
    }
    holders.push_back({.endpoint = at, .sent_tokens = sent_tokens, .last_used = now, .ready_at = ready_at});
}

void expire_segments(prefix_cache& cache, core::instant now)
{
    for (auto& [segment, holders] : cache.holders) {
        std::erase_if(holders,
                      [now](const segment_holder& each) { return each.last_used + segment_retention < now; });
    }
    std::erase_if(cache.holders, [](const auto& each) { return each.second.empty(); });
}

void remove_endpoint(prefix_cache& cache, endpoint_tag gone)
{
    for (auto& [segment, holders] : cache.holders) {
        std::erase_if(holders, [gone](const segment_holder& each) { return each.endpoint == gone; });
    }
    std::erase_if(cache.holders, [](const auto& each) { return each.second.empty(); });
}

std::vector<resolved_segment> resolve_segments(const prefix_cache& cache,
                                               std::span<const prompt_segment> segments)
{
    std::vector<resolved_segment> result;
    result.reserve(segments.size());
    for (const auto& segment : segments) {
        const auto found = cache.holders.find(segment.id);
        result.push_back(
            {.tokens = segment.tokens, .holders = found == cache.holders.end() ? nullptr : &found->second});
    }
    return result;
}

prefix_match match_prefix(std::span<const resolved_segment> segments,
                          endpoint_tag endpoint,
                          std::uint64_t sent_tokens,
                          std::uint64_t memory)
{
    prefix_match result;
    bool is_prefix = true;
    for (std::size_t i = 0; i < segments.size(); ++i) {
        const auto& segment = segments[i];
        if (segment.holders == nullptr) {
            is_prefix = false;
            continue;
        }
        const bool holds =
            is_prefix &&
            std::any_of(segment.holders->begin(), segment.holders->end(), [&](const segment_holder& holder) {
                return holder.endpoint == endpoint &&
                       (memory == 0 || sent_tokens - holder.sent_tokens < memory);
            });
        if (holds) {
            result.cached_tokens += segment.tokens;
        } else {
            is_prefix = false;
            // The last segment belongs to one request or session and is rarely cached elsewhere.
            if (i + 1 < segments.size()) {
                result.reread_tokens += segment.tokens;
            }
        }
    }
    return result;
}

} // namespace hibiscusfall::dispatch
