#pragma once

#include "hibiscusfall/core/claim.hpp"
#include "hibiscusfall/protocol/claims_messages.hpp"

#include <cstdint>

namespace hibiscusfall::claims
{

/// @brief Parts of each failure domain's key space. All instances must agree on it.
inline constexpr std::uint32_t shards_per_domain = 2;

/// @brief The digest of a team's key.
[[nodiscard]] protocol::claim_digest key_digest(const core::claim_request& request);

/// @brief The digest of the request's content, as given.
[[nodiscard]] protocol::claim_digest content_digest(const core::claim_request& request);

/// @brief The shard that a key belongs to.
[[nodiscard]] protocol::claim_shard shard_of(const core::failure_domain_id& home,
                                             const protocol::claim_digest& key);

} // namespace hibiscusfall::claims
