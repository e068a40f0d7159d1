#include "keeper_steps.hpp"

#include <algorithm>

namespace hibiscusfall::claims
{

namespace detail
{

namespace
{

std::size_t needed_for_proof(const claim_keeper& keeper)
{
    return proof_of(keeper.store.record->members.size());
}

bool store_is_read(const claim_keeper& keeper)
{
    return !keeper.store.unreadable && keeper.store.segments_loaded == keeper.store.record->segments.size();
}

/// Whether a later start of the same instance is live, so that the member and its memory are gone.
bool is_replaced(const claim_keeper& keeper, const protocol::claim_member& member)
{
    const auto later = keeper.view.live.upper_bound(member);
    return later != keeper.view.live.end() && later->id == member.id;
}

void ask_for_promises(claim_keeper& keeper, core::instant now, effects& out)
{
    if (now < keeper.next_promise_ask) {
        return;
    }
    keeper.next_promise_ask = now + keeper.options.resend_interval;
    for (const auto& member : keeper.store.record->members) {
        if (member == keeper.self) {
            keeper.promised.insert(member);
        } else if (!keeper.promised.contains(member)) {
            const auto [cursor, is_new] = keeper.promise_cursors.try_emplace(member, keeper.copy.position);
            out.messages.push_back({.to = member.id,
                                    .body = protocol::claim_promise_ask{.shard = keeper.copy.shard,
                                                                        .term = keeper.term,
                                                                        .after = cursor->second}});
        }
    }
}

/// Once no earlier keeper can grant any more, all its claims are out of retention after that time.
bool retention_has_passed(claim_keeper& keeper, core::instant now)
{
    std::size_t fenced = 1; // The store: the record carries the new term.
    for (const auto& member : keeper.store.record->members) {
        fenced += keeper.promised.contains(member) || is_replaced(keeper, member) ? 1 : 0;
    }
    if (fenced < needed_for_proof(keeper)) {
        keeper.fenced_since.reset();
        return false;
    }
    if (!keeper.fenced_since) {
        keeper.fenced_since = now;
    }
    return core::elapsed(*keeper.fenced_since, now) > keeper.options.limits.retention;
}

void begin_installing(claim_keeper& keeper, core::instant now, effects& out)
{
    ++keeper.counters.takeovers;
    keeper.last_version = first_version(keeper.term);
    keeper.committed = keeper.last_version;
    keeper.copy.position = keeper.last_version;
    keeper.replicas.clear();
    keeper.store.segment_number = 0;
    keeper.store.segment_through = 0;
    set_role(keeper, keeper_role::installing, now, out);
}

} // namespace

void prove(claim_keeper& keeper, core::instant now, effects& out)
{
    ask_for_promises(keeper, now, out);
    const auto proven = keeper.promised.size() + (store_is_read(keeper) ? 1 : 0);
    if (proven >= needed_for_proof(keeper) || retention_has_passed(keeper, now)) {
        begin_installing(keeper, now, out);
    }
}

} // namespace detail

void on_promise_page(claim_keeper& keeper,
                     const protocol::sender& from,
                     const protocol::claim_promise_page& message,
                     core::instant now,
                     effects& out)
{
    if (keeper.role != keeper_role::proving) {
        return;
    }
    if (message.promised > keeper.term) {
        keeper.copy.promised = std::max(keeper.copy.promised, message.promised);
        detail::step_down(keeper, from.id.str() + " has promised a higher term", now, out);
        return;
    }
    const protocol::claim_member member{.id = from.id, .incarnation = from.incarnation};
    const auto cursor = keeper.promise_cursors.find(member);
    if (cursor == keeper.promise_cursors.end() || message.after != cursor->second ||
        message.promised != keeper.term) {
        return;
    }
    for (const auto& entry : message.entries) {
        put(keeper.copy.table, entry, now);
    }
    cursor->second = message.through;
    if (message.last) {
        keeper.promised.insert(member);
    }
    keeper.next_promise_ask = now;
    detail::prove(keeper, now, out);
}

} // namespace hibiscusfall::claims
