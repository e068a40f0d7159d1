#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/prompt.hpp"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief Identifies an endpoint between instances: a digest of its id and start time.
using endpoint_tag = std::uint32_t;

/// @brief An endpoint that has processed a prompt segment.
struct segment_holder {
    endpoint_tag endpoint = 0;
    std::uint64_t sent_tokens = 0; ///< The endpoint's @c sent_tokens when it last used the segment.
    core::instant last_used{};
    core::instant ready_at{}; ///< When it is expected to have processed the segment.
};

/// @brief Estimated contents of the engines' prefix caches, derived from the prompts sent to them.
struct prefix_cache {
    std::unordered_map<std::uint64_t, std::vector<segment_holder>> holders;
};

/// @brief How long an unused segment is remembered. Engines evict the least recently used segments; at the
/// specified load their memory turns over in 10 to 20 s.
inline constexpr core::duration segment_retention = std::chrono::seconds{20};

/// @brief Records that a segment was sent to an endpoint.
/// @param ready_at When the endpoint is expected to have processed it, if it does not have it cached.
/// @param memory Capacity of the endpoint's prefix cache in tokens; zero for unlimited.
void record_segment(prefix_cache& cache,
                    std::uint64_t segment,
                    endpoint_tag at,
                    std::uint64_t sent_tokens,
                    core::instant now,
                    core::instant ready_at = {},
                    std::uint64_t memory = 0);

/// @brief Removes segments that were not used for @c segment_retention.
void expire_segments(prefix_cache& cache, core::instant now);

/// @brief Removes an endpoint from all segments.
void remove_endpoint(prefix_cache& cache, endpoint_tag gone);

/// @brief How much of a prompt an endpoint has cached.
struct prefix_match {
    std::uint32_t cached_tokens = 0; ///< Tokens of the leading segments that the endpoint has cached.
    std::uint32_t reread_tokens =
        0; ///< Tokens of shared parts that some other endpoint holds and this one not.
};

/// @brief A segment of a prompt with its holders, so that it is looked up once for all endpoints.
struct resolved_segment {
    std::uint32_t tokens = 0;
    const std::vector<segment_holder>* holders = nullptr; ///< Null if no endpoint has it cached.
};

/// @returns The segments with their holders; valid until the next change of @p cache.
[[nodiscard]] std::vector<resolved_segment> resolve_segments(const prefix_cache& cache,
                                                             std::span<const prompt_segment> segments);

/// @param sent_tokens Uncached prompt tokens sent to the endpoint so far.
/// @param memory Capacity of the endpoint's prefix cache in tokens; zero for unlimited.
[[nodiscard]] prefix_match match_prefix(std::span<const resolved_segment> segments,
                                        endpoint_tag endpoint,
                                        std::uint64_t sent_tokens,
                                        std::uint64_t memory);

} // namespace hibiscusfall::dispatch
