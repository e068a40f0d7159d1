#include "keeper_steps.hpp"

#include "hibiscusfall/protocol/claim_record_codec.hpp"

#include <algorithm>

namespace hibiscusfall::claims::detail
{

std::string segment_key(const protocol::claim_shard& shard, const protocol::claim_segment_name& name)
{
    return record_key(shard) + "/" + std::to_string(name.term) + "-" + std::to_string(name.number);
}

void call(claim_keeper& keeper, store_step step, store_call request, effects& out)
{
    keeper.store.step = step;
    request.shard = keeper.copy.shard;
    request.number = ++keeper.store.call;
    ++(request.is_swap ? keeper.counters.store_writes : keeper.counters.store_reads);
    out.calls.push_back(std::move(request));
}

void swap_record(claim_keeper& keeper, const protocol::claim_record& next, core::instant now, effects& out)
{
    keeper.store.must_read = true;
    keeper.store.next_write = now + keeper.options.store_interval;
    call(keeper,
         store_step::swap_record,
         {.key = record_key(keeper.copy.shard),
          .is_swap = true,
          .expected = keeper.store.modified_at,
          .value = protocol::pack(next)},
         out);
}

namespace
{

using protocol::claim_record;

std::size_t packed_size(const std::vector<protocol::claim_entry>& entries)
{
    std::size_t bytes = 0;
    for (const auto& entry : entries) {
        bytes += protocol::packed_size(entry);
    }
    return bytes;
}

/// The store keeps no bodies: they would not fit into its values.
claim_page
page_for_store(const claim_keeper& keeper, std::uint64_t after, std::size_t bytes, core::instant now)
{
    auto page = page_after(keeper.copy.table, after, bytes, now);
    for (auto& entry : page.entries) {
        entry.body.clear();
        entry.body_kept = false;
    }
    return page;
}

std::uint64_t store_cursor(const claim_keeper& keeper)
{
    return std::max(keeper.store.record->position, keeper.store.segment_through);
}

void write_segment(claim_keeper& keeper, core::instant now, effects& out)
{
    auto& store = keeper.store;
    store.next_write = now + keeper.options.store_interval;
    call(keeper,
         store_step::swap_segment,
         {.key = segment_key(keeper.copy.shard, {.term = keeper.term, .number = store.segment_number}),
          .is_swap = true,
          .expected = 0,
          .value = store.segment_text},
         out);
}

/// Starts a segment when the record would become too large.
/// @returns Whether one is to be written.
bool prepare_segment(claim_keeper& keeper, core::instant now)
{
    auto& store = keeper.store;
    if (!store.segment_text.empty()) {
        return true;
    }
    const auto pending = page_for_store(keeper, store_cursor(keeper), keeper.options.record_bytes, now);
    if (!pending.last) {
        const auto page = page_for_store(keeper, store_cursor(keeper), keeper.options.segment_bytes, now);
        store.segment_text = protocol::pack(page.entries);
        store.segment_through = page.through;
        store.segment_is_inline = false;
    } else if (!store.inline_moved && packed_size(store.record->entries) > keeper.options.record_bytes) {
        store.segment_text = protocol::pack(store.record->entries);
        store.segment_is_inline = true;
    } else {
        return false;
    }
    ++store.segment_number;
    return true;
}

/// Entries for the record: what it has and what is new, the newest of each key.
std::vector<protocol::claim_entry> merge(const std::vector<protocol::claim_entry>& old,
                                         std::vector<protocol::claim_entry> fresh)
{
    std::set<protocol::claim_digest> renewed;
    for (const auto& entry : fresh) {
        renewed.insert(entry.key);
    }
    std::vector<protocol::claim_entry> all;
    for (const auto& entry : old) {
        if (!renewed.contains(entry.key)) {
            all.push_back(entry);
        }
    }
    all.insert(all.end(), std::make_move_iterator(fresh.begin()), std::make_move_iterator(fresh.end()));
    return all;
}

/// Segments that were first seen longer ago than the retention hold nothing that is needed.
std::vector<protocol::claim_segment_name> kept_segments(claim_keeper& keeper, core::instant now)
{
    auto& store = keeper.store;
    auto names = store.record->segments;
    names.insert(names.end(), store.unlisted.begin(), store.unlisted.end());
    for (const auto& name : names) {
        const auto same = [&](const auto& item) { return item.second == name; };
        if (std::none_of(store.first_seen.begin(), store.first_seen.end(), same)) {
            store.first_seen.emplace_back(now, name);
        }
    }
    std::erase_if(names, [&](const auto& name) {
        return std::any_of(store.first_seen.begin(), store.first_seen.end(), [&](const auto& item) {
            return item.second == name && core::elapsed(item.first, now) > keeper.options.limits.retention;
        });
    });
    return names;
}

claim_record make_commit(claim_keeper& keeper, core::instant now)
{
    const auto& store = keeper.store;
    const auto fresh = page_for_store(keeper, store_cursor(keeper), keeper.options.record_bytes, now);
    auto next = *store.record;
    next.members = *store.proposed;
    next.segments = kept_segments(keeper, now);
    next.entries = merge(store.inline_moved ? std::vector<protocol::claim_entry>{} : store.record->entries,
                         fresh.entries);
    next.position = keeper.last_version;
    return next;
}

/// Whether every entry that counts in the set in force would count in another one, once the store has all.
bool may_propose(const claim_keeper& keeper, const std::vector<protocol::claim_member>& members)
{
    return quorum_position(keeper, members, keeper.last_version) >= keeper.committed;
}

bool replicas_are_ready(const claim_keeper& keeper,
                        const std::vector<protocol::claim_member>& wanted,
                        core::instant now)
{
    const auto live = replication_targets(keeper).size();
    return wanted.size() > live || core::elapsed(keeper.role_since, now) >= keeper.options.catch_up_wait;
}

/// Writes a new set, or new claims, in one go.
void write_claims(claim_keeper& keeper, core::instant now, effects& out)
{
    auto& store = keeper.store;
    if (now < store.next_write) {
        return;
    }
    const auto wanted = store.proposed ? *store.proposed : wanted_set(keeper);
    if (keeper.role == keeper_role::installing && !store.proposed &&
        !replicas_are_ready(keeper, wanted, now)) {
        return;
    }
    const bool changes_set = keeper.role == keeper_role::installing || wanted != store.record->members;
    if (!changes_set && keeper.last_version <= store.record->position) {
        return;
    }
    if (prepare_segment(keeper, now)) {
        write_segment(keeper, now, out);
        return;
    }
    if (!may_propose(keeper, wanted)) {
        return;
    }
    store.proposed = wanted;
    swap_record(keeper, make_commit(keeper, now), now, out);
}

/// Empties one segment that the record does not list any more, in two calls.
void empty_expired(claim_keeper& keeper, core::instant now, effects& out)
{
    auto& store = keeper.store;
    if (store.step != store_step::none || store.expired.empty() || now < store.next_write) {
        return;
    }
    const auto key = segment_key(keeper.copy.shard, store.expired.back());
    if (store.expired_modified_at == 0) {
        call(keeper, store_step::read_expired, {.key = key}, out);
        return;
    }
    store.next_write = now + keeper.options.store_interval;
    call(keeper,
         store_step::empty_expired,
         {.key = key, .is_swap = true, .expected = store.expired_modified_at, .value = {}},
         out);
}

} // namespace

void note_expired_segments(claim_keeper& keeper)
{
    auto& store = keeper.store;
    const auto& listed = store.record->segments;
    std::erase_if(store.first_seen, [&](const auto& item) {
        const bool is_listed = std::find(listed.begin(), listed.end(), item.second) != listed.end();
        if (!is_listed) {
            store.expired.push_back(item.second);
        }
        return !is_listed;
    });
}

void take_expired(claim_keeper& keeper, store_step step, const store_result& result)
{
    auto& store = keeper.store;
    if (step == store_step::read_expired && result.modified_at != 0 && !result.value.empty()) {
        store.expired_modified_at = result.modified_at;
        return;
    }
    // After an unknown outcome the next read tells whether anything is left.
    store.expired_modified_at = 0;
    if (step == store_step::read_expired || result.answered) {
        store.expired.pop_back();
    }
}

void commit(claim_keeper& keeper, core::instant now, effects& out)
{
    write_claims(keeper, now, out);
    empty_expired(keeper, now, out);
}

} // namespace hibiscusfall::claims::detail
