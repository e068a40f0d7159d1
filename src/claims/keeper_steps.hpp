#pragma once

#include "hibiscusfall/claims/claim_keeper.hpp"

#include <span>

/// Steps of a keeper that its source files share.
namespace hibiscusfall::claims::detail
{

/// The first version of a term: everything before it comes from earlier keepers.
[[nodiscard]] constexpr std::uint64_t first_version(std::uint64_t term) noexcept
{
    constexpr unsigned counter_bits = 40;
    return term << counter_bits;
}

/// Members of a set, the store included, that must hold an entry before it counts.
[[nodiscard]] constexpr std::size_t majority_of(std::size_t members) noexcept
{
    const auto with_store = members + 1;
    return with_store / 2 + 1;
}

/// Members of a set, the store included, of which one at least holds every entry that counted.
[[nodiscard]] constexpr std::size_t proof_of(std::size_t members) noexcept
{
    return members + 1 - majority_of(members) + 1;
}

/// Up to which version a majority of a set holds everything.
[[nodiscard]] std::uint64_t quorum_position(const claim_keeper& keeper,
                                            std::span<const protocol::claim_member> members,
                                            std::uint64_t store);

/// Moves the version up to which every later keeper must learn of everything.
void advance_committed(claim_keeper& keeper);

/// Sends replies whose versions are committed by now.
void release_committed(claim_keeper& keeper, effects& out);

/// Sends replicas what they lack.
void replicate(claim_keeper& keeper, core::instant now, effects& out);

/// Replicas of the sets in force, and those that are to join.
[[nodiscard]] std::set<protocol::claim_member> replication_targets(const claim_keeper& keeper);

/// The set to write into the record, given who is live and up to date.
[[nodiscard]] std::vector<protocol::claim_member> wanted_set(const claim_keeper& keeper);

void set_role(claim_keeper& keeper, keeper_role role, core::instant now, effects& out);
void step_down(claim_keeper& keeper, std::string_view reason, core::instant now, effects& out);

/// Asks members for promises; goes on to installing once no claim can be missing.
void prove(claim_keeper& keeper, core::instant now, effects& out);

/// Makes the next call to the store, when one is due.
void call_store(claim_keeper& keeper, core::instant now, effects& out);

[[nodiscard]] std::string segment_key(const protocol::claim_shard& shard,
                                      const protocol::claim_segment_name& name);

/// Sends one call to the store.
void call(claim_keeper& keeper, store_step step, store_call request, effects& out);

/// Replaces the record; its effect is known only once the record is read again.
void swap_record(claim_keeper& keeper, const protocol::claim_record& next, core::instant now, effects& out);

/// Writes what is due: a new set, new claims, or nothing in place of expired ones.
void commit(claim_keeper& keeper, core::instant now, effects& out);

/// Marks segments to be emptied that the record in force does not list.
void note_expired_segments(claim_keeper& keeper);

/// Takes the result of a call on a segment to be emptied.
void take_expired(claim_keeper& keeper, store_step step, const store_result& result);

/// Asks again on behalf of those who wait for a key, or for any key.
void retry_waiters(claim_keeper& keeper, const protocol::claim_digest& key, core::instant now, effects& out);
void retry_all_waiters(claim_keeper& keeper, core::instant now, effects& out);

} // namespace hibiscusfall::claims::detail
