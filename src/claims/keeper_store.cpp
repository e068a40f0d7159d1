#include "keeper_steps.hpp"

#include "hibiscusfall/protocol/claim_record_codec.hpp"

#include <algorithm>
#include <unordered_map>

namespace hibiscusfall::claims
{

std::string record_key(const protocol::claim_shard& shard)
{
    return "hibiscusfall/claims/" + shard.domain.str() + "/" + std::to_string(shard.number);
}

namespace detail
{

namespace
{

using protocol::claim_record;

void read_record(claim_keeper& keeper, effects& out)
{
    call(keeper, store_step::read_record, {.key = record_key(keeper.copy.shard)}, out);
}

bool keeper_is_silent(const claim_keeper& keeper, const protocol::claim_member& other, core::instant now)
{
    if (!keeper.view.live.contains(other)) {
        return true;
    }
    const auto last_sign = std::max(keeper.copy.keeper_heard, *keeper.chosen_since);
    return core::elapsed(last_sign, now) >= keeper.options.keeper_silence;
}

bool should_take_over(const claim_keeper& keeper, core::instant now)
{
    if (!keeper.chosen_since || core::elapsed(*keeper.chosen_since, now) < keeper.options.takeover_delay) {
        return false;
    }
    return keeper.copy.keeper.id.empty() || keeper_is_silent(keeper, keeper.copy.keeper, now);
}

/// The record with this instance's term, or the first record of a shard.
claim_record make_takeover(const claim_keeper& keeper)
{
    auto next = keeper.store.record ? *keeper.store.record : claim_record{};
    if (next.members.empty()) {
        next.members = {keeper.self};
    }
    next.term = std::max(next.term, keeper.copy.promised) + 1;
    next.keeper = keeper.self;
    return next;
}

void begin_taking(claim_keeper& keeper, core::instant now, effects& out)
{
    const auto next = make_takeover(keeper);
    keeper.term = next.term;
    set_role(keeper, keeper_role::taking, now, out);
    swap_record(keeper, next, now, out);
}

void call_for_proof(claim_keeper& keeper, effects& out)
{
    const auto& store = keeper.store;
    if (store.unreadable || store.segments_loaded == store.record->segments.size()) {
        return;
    }
    const auto& name = store.record->segments[store.segments_loaded];
    call(keeper, store_step::read_segment, {.key = segment_key(keeper.copy.shard, name)}, out);
}

void retry_later(claim_keeper& keeper, core::instant now)
{
    keeper.store.next_call = now + keeper.options.store_retry;
}

bool is_ours(const claim_keeper& keeper)
{
    const auto& record = keeper.store.record;
    return record && record->term == keeper.term && record->keeper == keeper.self;
}

void begin_proving(claim_keeper& keeper, core::instant now, effects& out)
{
    if (keeper.copy.promised > keeper.term) {
        step_down(keeper, "another instance has a higher term", now, out);
        return;
    }
    keeper.copy.promised = keeper.term;
    keeper.copy.keeper = {};
    keeper.promised.clear();
    keeper.promise_cursors.clear();
    for (const auto& entry : keeper.store.record->entries) {
        put(keeper.copy.table, entry, now);
    }
    set_role(keeper, keeper_role::proving, now, out);
    prove(keeper, now, out);
}

void decide_on_takeover(claim_keeper& keeper, core::instant now, effects& out)
{
    const auto& record = keeper.store.record;
    const bool free =
        !record || record->keeper == keeper.self || keeper_is_silent(keeper, record->keeper, now);
    if (keeper.chosen_since && free) {
        begin_taking(keeper, now, out);
        return;
    }
    keeper.store.next_call = now + keeper.options.takeover_interval;
    set_role(keeper, keeper_role::idle, now, out);
}

void after_own_write(claim_keeper& keeper, bool changed, core::instant now, effects& out)
{
    auto& store = keeper.store;
    if (keeper.role == keeper_role::taking) {
        begin_proving(keeper, now, out);
        return;
    }
    if (!changed || !store.proposed) {
        return;
    }
    store.proposed.reset();
    store.unlisted.clear();
    store.inline_moved = false;
    note_expired_segments(keeper);
    if (keeper.role == keeper_role::installing) {
        set_role(keeper, keeper_role::serving, now, out);
    }
    release_committed(keeper, out);
}

void take_record(claim_keeper& keeper, const store_result& result, core::instant now, effects& out)
{
    auto& store = keeper.store;
    std::optional<claim_record> record;
    if (result.modified_at != 0) {
        record = protocol::unpack_record(result.value);
        if (!record) {
            out.events.push_back(
                telemetry::log_event{"claim_record_unreadable"}.with("key", record_key(keeper.copy.shard)));
            retry_later(keeper, now);
            return;
        }
    }
    const bool changed = result.modified_at != store.modified_at;
    store.must_read = false;
    store.record = std::move(record);
    store.modified_at = result.modified_at;
    if (keeper.role >= keeper_role::taking && is_ours(keeper)) {
        after_own_write(keeper, changed, now, out);
    } else if (keeper.role == keeper_role::reading || keeper.role == keeper_role::taking) {
        decide_on_takeover(keeper, now, out);
    } else if (keeper.role != keeper_role::idle) {
        step_down(keeper, "the store names another keeper", now, out);
    }
}

void take_segment(claim_keeper& keeper, const store_result& result, core::instant now, effects& out)
{
    const auto entries = result.modified_at != 0 ? protocol::unpack_entries(result.value) : std::nullopt;
    if (!entries) {
        keeper.store.unreadable = true;
        out.events.push_back(
            telemetry::log_event{"claim_segment_unreadable"}.with("key", record_key(keeper.copy.shard)));
        return;
    }
    for (const auto& entry : *entries) {
        put(keeper.copy.table, entry, now);
    }
    ++keeper.store.segments_loaded;
    if (keeper.role == keeper_role::proving) {
        prove(keeper, now, out);
    }
}

void segment_is_written(claim_keeper& keeper)
{
    auto& store = keeper.store;
    store.unlisted.push_back({.term = keeper.term, .number = store.segment_number});
    store.segment_text.clear();
    store.inline_moved = store.inline_moved || store.segment_is_inline;
}

} // namespace

void call_store(claim_keeper& keeper, core::instant now, effects& out)
{
    if (keeper.store.step != store_step::none || now < keeper.store.next_call) {
        return;
    }
    if (keeper.store.must_read || keeper.role == keeper_role::reading) {
        read_record(keeper, out);
    } else if (keeper.role == keeper_role::idle && should_take_over(keeper, now)) {
        set_role(keeper, keeper_role::reading, now, out);
        read_record(keeper, out);
    } else if (keeper.role == keeper_role::proving) {
        call_for_proof(keeper, out);
    } else if (keeper.role >= keeper_role::installing) {
        commit(keeper, now, out);
    }
}

} // namespace detail

void on_store_result(claim_keeper& keeper, const store_result& result, core::instant now, effects& out)
{
    if (keeper.store.step == store_step::none || result.number != keeper.store.call) {
        return;
    }
    const auto step = std::exchange(keeper.store.step, store_step::none);
    const bool reads = step == store_step::read_record || step == store_step::read_segment ||
                       step == store_step::read_expired;
    if (reads && !result.answered) {
        detail::retry_later(keeper, now);
        return;
    }
    if (step == store_step::read_record) {
        detail::take_record(keeper, result, now, out);
    } else if (step == store_step::read_segment && keeper.role == keeper_role::proving) {
        detail::take_segment(keeper, result, now, out);
    } else if (step == store_step::swap_segment && keeper.role >= keeper_role::installing) {
        // A conflict says that an earlier attempt took effect: nobody else writes this name.
        if (result.answered || result.conflict) {
            detail::segment_is_written(keeper);
        } else {
            detail::retry_later(keeper, now);
        }
    } else if (step >= store_step::read_expired && !keeper.store.expired.empty()) {
        detail::take_expired(keeper, step, result);
    }
    detail::call_store(keeper, now, out);
}

} // namespace hibiscusfall::claims
