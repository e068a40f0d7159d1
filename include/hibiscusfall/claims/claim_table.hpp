#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/protocol/claims_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::claims
{

/// @brief Bounds of one table of claims.
struct claim_limits {
    core::duration retention = std::chrono::hours{24}; ///< A claim is kept this long after its last change.
    std::size_t table_bytes = std::size_t{64} << 20U;
    std::size_t body_bytes = std::size_t{16} << 20U; ///< Bodies of outcomes; the oldest go first.
};

/// @brief A kept claim and when it changed last, on this process's clock.
struct kept_claim {
    protocol::claim_entry entry;
    core::instant changed{};
};

/// @brief Hashes a digest, which is uniform already.
struct digest_hash {
    std::size_t operator()(const protocol::claim_digest& value) const noexcept { return value.low; }
};

/// @brief The current entry of every key, also in the order of versions.
struct claim_table {
    claim_limits limits;
    std::unordered_map<protocol::claim_digest, kept_claim, digest_hash> claims;
    std::map<std::uint64_t, protocol::claim_digest> by_version;
    std::deque<protocol::claim_digest> with_body; ///< Oldest first; may name claims without one.
    std::size_t bytes = 0;                        ///< Estimated memory without bodies.
    std::size_t body_bytes = 0;
};

/// @brief A run of entries in the order of versions.
struct claim_page {
    std::vector<protocol::claim_entry> entries;
    std::uint64_t through = 0; ///< All current entries up to this version are in this page or before it.
    bool last = false;         ///< Nothing comes after it.
};

/// @brief The current entry of a key; null when there is none.
[[nodiscard]] const protocol::claim_entry* find(const claim_table& table, const protocol::claim_digest& key);

/// @brief Whether one more claim fits.
[[nodiscard]] bool has_room(const claim_table& table);

/// @brief Takes an entry unless one of the same or a higher version is there.
void put(claim_table& table, const protocol::claim_entry& entry, core::instant now);

/// @brief The entries after a version, as many as fit into @p most_bytes (at least one).
[[nodiscard]] claim_page
page_after(const claim_table& table, std::uint64_t after, std::size_t most_bytes, core::instant now);

/// @brief Drops claims whose retention has passed.
/// @returns How many.
std::size_t expire(claim_table& table, core::instant now);

} // namespace hibiscusfall::claims
