#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusfall::protocol
{

/// @brief A digest of 16 bytes: of a team and its idempotency key, or of a request's content.
struct claim_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] friend auto operator<=>(const claim_digest&, const claim_digest&) = default;
};

/// @brief A part of the key space of the teams whose home is one failure domain.
struct claim_shard {
    core::failure_domain_id domain;
    std::uint32_t number = 0;

    [[nodiscard]] friend auto operator<=>(const claim_shard&, const claim_shard&) = default;
};

/// @brief One start of one instance. After a restart it is another member, with empty memory.
struct claim_member {
    core::instance_id id;
    std::uint64_t incarnation = 0;

    [[nodiscard]] friend auto operator<=>(const claim_member&, const claim_member&) = default;
};

/// @brief The one request that a claim belongs to.
struct claim_holder {
    claim_member router;
    std::uint64_t request = 0; ///< Numbers the router's requests since its start.

    [[nodiscard]] friend bool operator==(const claim_holder&, const claim_holder&) = default;
};

/// @brief What is known of the one run of a key.
enum class claim_state : std::uint8_t {
    held,         ///< The holder may be running it.
    ran,          ///< The whole answer was read.
    may_have_run, ///< The holder said that it cannot know.
    released      ///< The holder said that it has not run; the key is free.
};

/// @brief A claim as keepers, replicas and the store keep it. The higher version of a key replaces the lower.
struct claim_entry {
    claim_digest key;
    claim_digest content; ///< Digest of method, path and body.
    claim_holder holder;
    claim_state state = claim_state::held;
    std::uint64_t version = 0; ///< Term of the keeper, then a number that it counts up.
    core::duration age{};      ///< Time since the last change, as the sender knows it.
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = false;
};

/// @brief Router to keeper: may this request run? Sent again until it is answered.
struct claim_ask {
    claim_shard shard;
    std::uint64_t request = 0;
    claim_digest key;
    claim_digest content;
};

/// @brief The keeper's word on a request.
enum class claim_word : std::uint8_t {
    granted,
    replayed,     ///< The key has run; its outcome is in the reply.
    pending,      ///< Another request with the key is running; ask again.
    may_have_run, ///< Another request with the key ended without a known outcome.
    key_in_use,   ///< The key belongs to a request with another content.
    closed,       ///< This very request was settled before.
    unsettled,    ///< This keeper cannot prove that it knows all claims.
    full,         ///< No memory for another claim.
    redirect      ///< Another instance keeps this shard.
};

/// @brief Keeper to router: answers an ask.
struct claim_reply {
    std::uint64_t request = 0;
    claim_word word = claim_word::unsettled;
    core::instance_id keeper; ///< Whom to ask, in a redirect; empty when not known.
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = false;
};

/// @brief Router to keeper: how the run of a granted claim ended. Sent again until it is acknowledged.
struct claim_settle {
    claim_shard shard;
    std::uint64_t request = 0;
    claim_digest key;
    claim_digest content;
    claim_state state = claim_state::released;
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    bool body_kept = false;
};

/// @brief Keeper to router: the outcome is kept.
struct claim_settled {
    std::uint64_t request = 0;
};

/// @brief Keeper to replica: all entries that were current at sending, with versions in (after, through].
struct claim_append {
    claim_shard shard;
    std::uint64_t term = 0;
    std::uint64_t scan = 0; ///< Higher whenever the keeper starts again at an earlier version.
    std::uint64_t after = 0;
    std::uint64_t through = 0;
    bool last = false; ///< At sending, nothing came after it.
    std::vector<claim_entry> entries;
};

/// @brief Replica to keeper: how far its copy goes.
struct claim_append_reply {
    claim_shard shard;
    std::uint64_t promised = 0; ///< The highest term that it has accepted.
    std::uint64_t scan = 0;
    std::uint64_t cursor = 0;   ///< Received without a gap in this scan.
    std::uint64_t position = 0; ///< Complete: it holds this or a later version of every claim up to here.
};

/// @brief New keeper to a member of the last set: accept no lower term, and send what comes after a version.
struct claim_promise_ask {
    claim_shard shard;
    std::uint64_t term = 0;
    std::uint64_t after = 0;
};

/// @brief Member to new keeper: one page of its copy.
struct claim_promise_page {
    claim_shard shard;
    std::uint64_t promised = 0;
    std::uint64_t after = 0;
    std::uint64_t through = 0;
    bool last = false;
    std::vector<claim_entry> entries;
};

/// @brief A part of the claims in the store that is not changed any more.
struct claim_segment_name {
    std::uint64_t term = 0;
    std::uint64_t number = 0;

    [[nodiscard]] friend auto operator<=>(const claim_segment_name&, const claim_segment_name&) = default;
};

/// @brief The value in the store for one shard: its keeper, the members of its set, and the newest claims.
struct claim_record {
    std::uint64_t term = 0;
    claim_member keeper;
    std::vector<claim_member> members; ///< The set in force; the store is one more member.
    std::uint64_t position = 0;        ///< The store holds every entry up to this version.
    std::vector<claim_segment_name> segments;
    std::vector<claim_entry> entries;
};

} // namespace hibiscusfall::protocol
