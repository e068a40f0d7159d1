#pragma once

#include "hibiscusfall/claims/claim_copy.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusfall::claims
{

/// @brief Times and bounds of keepers and replicas.
struct keeper_options {
    claim_limits limits;
    core::duration resend_interval = std::chrono::milliseconds{60};
    core::duration catch_up_wait = std::chrono::milliseconds{400};     ///< Longest wait for slow replicas.
    core::duration store_interval = std::chrono::milliseconds{200};    ///< Least time between two writes.
    core::duration store_retry = std::chrono::milliseconds{500};       ///< After a call that failed.
    core::duration takeover_interval = std::chrono::milliseconds{500}; ///< Between reads of a foreign record.
    core::duration takeover_delay =
        std::chrono::seconds{1}; ///< Least time as the chosen one before a takeover.
    core::duration keeper_silence =
        std::chrono::milliseconds{2500}; ///< A keeper not heard for this long is gone.
    core::duration heartbeat_interval =
        std::chrono::milliseconds{500};                  ///< Between messages to an idle replica.
    std::size_t record_bytes = std::size_t{64} << 10U;   ///< More than this moves to a segment.
    std::size_t segment_bytes = std::size_t{384} << 10U; ///< Largest segment, before the store's base64.
    std::size_t most_waiters = 4096;
};

/// @brief What a keeper knows of the fleet.
struct keeper_view {
    std::set<protocol::claim_member> live;
    std::vector<protocol::claim_member> preferred; ///< Replicas wanted, without this instance.
    bool chosen = false;                           ///< Whether this instance should keep the shard.
};

/// @brief How far this instance is on the way to authority over a shard.
enum class keeper_role : std::uint8_t {
    idle,       ///< No authority.
    reading,    ///< Reads the record in the store.
    taking,     ///< Writes its own term into the record.
    proving,    ///< Collects promises and copies until no claim can be missing.
    installing, ///< Brings replicas up to date and writes the new set.
    serving     ///< Answers.
};

/// @brief How far one replica is, as it said itself.
struct replica_progress {
    bool known = false;
    std::uint64_t position = 0;
    std::uint64_t scan = 0;
    std::uint64_t cursor = 0;  ///< Acknowledged in this scan.
    std::uint64_t sent = 0;    ///< Sent in this scan.
    std::size_t in_flight = 0; ///< Pages sent and not acknowledged.
    std::size_t window = 1;    ///< Pages that may be in flight; one after a loss.
    core::instant last_sent{};
};

/// @brief What the store is doing for the shard, one call at a time.
enum class store_step : std::uint8_t {
    none,
    read_record,
    swap_record,
    read_segment,
    swap_segment,
    read_expired, ///< Reads a segment that the record does not list any more.
    empty_expired ///< Replaces it by nothing.
};

/// @brief The keeper's dealings with the store.
struct store_progress {
    store_step step = store_step::none;
    std::uint64_t call = 0; ///< Number of the call that is out.
    std::optional<protocol::claim_record> record;
    std::int64_t modified_at = 0;
    bool must_read = false; ///< The last write's effect is not known yet.
    core::instant next_call{};
    core::instant next_write{};
    std::optional<std::vector<protocol::claim_member>> proposed; ///< A set that may be in force, too.
    std::size_t segments_loaded = 0;
    bool unreadable = false;                            ///< A part of the record is lost.
    std::uint64_t segment_number = 0;                   ///< The last segment written under this term.
    std::uint64_t segment_through = 0;                  ///< Entries up to here are in segments.
    std::string segment_text;                           ///< The segment that is being written.
    bool segment_is_inline = false;                     ///< It holds the record's own entries.
    bool inline_moved = false;                          ///< The record's entries are in a segment now.
    std::vector<protocol::claim_segment_name> unlisted; ///< Written, but not in the record yet.
    std::vector<std::pair<core::instant, protocol::claim_segment_name>> first_seen;
    std::vector<protocol::claim_segment_name> expired; ///< Not listed any more, to be emptied.
    std::int64_t expired_modified_at = 0;              ///< Of the last one, once it was read; 0 before.
};

/// @brief The result of a store call.
struct store_result {
    std::uint64_t number = 0;
    bool answered = false; ///< A read was answered, or a swap was applied.
    bool conflict = false; ///< A swap found another value.
    std::string value;     ///< Of a read.
    std::int64_t modified_at = 0;
};

/// @brief Totals for the metrics page.
struct keeper_counters {
    std::uint64_t granted = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t settled = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t store_reads = 0;
    std::uint64_t store_writes = 0;
    std::uint64_t conflicts = 0; ///< An outcome came from a request that did not hold the claim.
    std::uint64_t expired = 0;
};

/// @brief Adds totals to others.
void add(keeper_counters& to, const keeper_counters& other) noexcept;

/// @brief One shard on one instance: its copy, and its authority when it has any.
struct claim_keeper {
    keeper_options options;
    protocol::claim_member self;
    claim_copy copy;
    keeper_view view;

    keeper_role role = keeper_role::idle;
    std::uint64_t term = 0;
    std::uint64_t last_version = 0;
    std::uint64_t committed = 0; ///< Every later keeper must learn of all entries up to here. Never falls.
    core::instant role_since{};
    std::optional<core::instant> chosen_since;
    std::map<protocol::claim_member, std::uint64_t> promise_cursors; ///< Pages read from each member.
    std::set<protocol::claim_member> promised;                       ///< Members whose copy was read whole.
    std::optional<core::instant> fenced_since; ///< No earlier keeper can grant any more since then.
    core::instant next_promise_ask{};

    std::map<protocol::claim_member, replica_progress> replicas;
    store_progress store;

    std::map<std::uint64_t, protocol::outgoing> held_back; ///< Replies by the version they wait for.
    std::map<protocol::claim_digest, std::vector<std::pair<protocol::sender, protocol::claim_ask>>> waiters;
    std::size_t waiter_count = 0;
    keeper_counters counters;
};

/// @name Events
void on_view(claim_keeper& keeper, keeper_view view, core::instant now, effects& out);
void on_tick(claim_keeper& keeper, core::instant now, effects& out);
void on_ask(claim_keeper& keeper,
            const protocol::sender& from,
            const protocol::claim_ask& message,
            core::instant now,
            effects& out);
void on_settle(claim_keeper& keeper,
               const protocol::sender& from,
               const protocol::claim_settle& message,
               core::instant now,
               effects& out);
void on_append(claim_keeper& keeper,
               const protocol::sender& from,
               const protocol::claim_append& message,
               core::instant now,
               effects& out);
void on_promise_ask(claim_keeper& keeper,
                    const protocol::sender& from,
                    const protocol::claim_promise_ask& message,
                    core::instant now,
                    effects& out);
void on_append_reply(claim_keeper& keeper,
                     const protocol::sender& from,
                     const protocol::claim_append_reply& message,
                     core::instant now,
                     effects& out);
void on_promise_page(claim_keeper& keeper,
                     const protocol::sender& from,
                     const protocol::claim_promise_page& message,
                     core::instant now,
                     effects& out);
void on_store_result(claim_keeper& keeper, const store_result& result, core::instant now, effects& out);

/// @brief The store key of a shard's record.
[[nodiscard]] std::string record_key(const protocol::claim_shard& shard);

[[nodiscard]] std::string_view to_string(keeper_role value) noexcept;

} // namespace hibiscusfall::claims
