#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/prompt.hpp"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief Names an endpoint between instances: a digest of its id and start.
using endpoint_tag = std::uint32_t;

/// @brief One endpoint that read a prompt part.
struct part_holder {
    endpoint_tag endpoint = 0;
    std::uint64_t read_total = 0; ///< Tokens that the endpoint had been sent when it last used the part.
    core::instant used{};
};

/// @brief Which prompt parts the engines of the fleet hold, estimated from what was sent to them.
struct kept_parts {
    std::unordered_map<std::uint64_t, std::vector<part_holder>> holders;
};

/// @brief How long a part that nobody used is remembered. Engines evict the least recently used parts; at the
/// load of the users' pages their memory turns over in 10 to 20 s.
inline constexpr core::duration part_memory = std::chrono::seconds{20};

/// @brief Notes that an endpoint was sent a part.
void note_part(
    kept_parts& kept, std::uint64_t part, endpoint_tag at, std::uint64_t read_total, core::instant now);

/// @brief Forgets parts that were not used for @c part_memory, and all of an endpoint when @p gone is set.
void forget_old_parts(kept_parts& kept, core::instant now);
void forget_endpoint(kept_parts& kept, endpoint_tag gone);

/// @brief How much of a prompt an endpoint need not read.
struct kept_tokens {
    std::uint32_t kept = 0;       ///< Tokens of the leading parts that the endpoint still holds.
    std::uint32_t read_again = 0; ///< Tokens of shared parts that some other endpoint holds and this one not.
};

/// @brief The parts of one prompt with their holders, so that each part is looked up once for all endpoints.
struct resolved_part {
    std::uint32_t tokens = 0;
    const std::vector<part_holder>* holders = nullptr; ///< Null when no endpoint holds it.
};

/// @returns Valid until the next change of @p kept.
[[nodiscard]] std::vector<resolved_part> resolve(const kept_parts& kept, std::span<const prompt_part> parts);

/// @param read_total Tokens sent to the endpoint so far.
/// @param memory Tokens that its memory has for kept parts.
[[nodiscard]] kept_tokens look_up(std::span<const resolved_part> parts,
                                  endpoint_tag endpoint,
                                  std::uint64_t read_total,
                                  std::uint64_t memory);

} // namespace hibiscusfall::dispatch
