#include "keeper_steps.hpp"

namespace hibiscusfall::claims
{

namespace
{

using protocol::claim_state;
using protocol::claim_word;

protocol::claim_holder holder_of(const protocol::sender& from, std::uint64_t request)
{
    return {.router = {.id = from.id, .incarnation = from.incarnation}, .request = request};
}

void reply(const protocol::sender& to, protocol::claim_reply message, effects& out)
{
    out.messages.push_back({.to = to.id, .body = std::move(message)});
}

void log_decision(const claim_keeper& keeper,
                  const protocol::sender& from,
                  std::uint64_t request,
                  std::string_view decision,
                  effects& out)
{
    out.decisions.push_back(telemetry::log_event{"claim"}
                                .with("domain", keeper.copy.shard.domain.view())
                                .with("shard", keeper.copy.shard.number)
                                .with("router", from.id.view())
                                .with("request", request)
                                .with("decision", decision));
}

/// Gives the entry the next version and takes it; replies that waited for its old version are void.
std::uint64_t change(claim_keeper& keeper, protocol::claim_entry entry, core::instant now)
{
    if (const auto* old = find(keeper.copy.table, entry.key)) {
        keeper.held_back.erase(old->version);
    }
    entry.version = ++keeper.last_version;
    entry.age = {};
    keeper.copy.position = entry.version;
    put(keeper.copy.table, entry, now);
    return entry.version;
}

/// Sends a reply once the version is committed.
void hold_back(claim_keeper& keeper,
               std::uint64_t version,
               const protocol::sender& to,
               protocol::message body)
{
    keeper.held_back.insert_or_assign(version, protocol::outgoing{.to = to.id, .body = std::move(body)});
}

/// Says who keeps the shard, when this instance does not.
bool redirect(const claim_keeper& keeper, const protocol::sender& from, std::uint64_t request, effects& out)
{
    if (keeper.role == keeper_role::serving) {
        return false;
    }
    const auto& known = keeper.copy.keeper;
    if (known.id.empty() || known.id == keeper.self.id || !keeper.view.live.contains(known)) {
        reply(from, {.request = request, .word = claim_word::unsettled}, out);
    } else {
        reply(from, {.request = request, .word = claim_word::redirect, .keeper = known.id}, out);
    }
    return true;
}

void grant(claim_keeper& keeper,
           const protocol::sender& from,
           const protocol::claim_ask& message,
           core::instant now,
           effects& out)
{
    if (!has_room(keeper.copy.table)) {
        ++keeper.counters.refused;
        log_decision(keeper, from, message.request, "full", out);
        reply(from, {.request = message.request, .word = claim_word::full}, out);
        return;
    }
    const auto version = change(keeper,
                                {.key = message.key,
                                 .content = message.content,
                                 .holder = holder_of(from, message.request),
                                 .state = claim_state::held},
                                now);
    ++keeper.counters.granted;
    log_decision(keeper, from, message.request, "granted", out);
    hold_back(keeper,
              version,
              from,
              protocol::claim_reply{.request = message.request, .word = claim_word::granted});
    detail::replicate(keeper, now, out);
}

void replay(claim_keeper& keeper,
            const protocol::sender& from,
            std::uint64_t request,
            const protocol::claim_entry& entry,
            effects& out)
{
    ++keeper.counters.replayed;
    log_decision(keeper, from, request, "replayed", out);
    reply(from,
          {.request = request,
           .word = claim_word::replayed,
           .keeper = {},
           .status = entry.status,
           .content_type = entry.content_type,
           .body = entry.body,
           .body_kept = entry.body_kept},
          out);
}

void wait(claim_keeper& keeper,
          const protocol::sender& from,
          const protocol::claim_ask& message,
          effects& out)
{
    auto& waiting = keeper.waiters[message.key];
    const auto same = [&](const auto& item) {
        return item.first.id == from.id && item.second.request == message.request;
    };
    std::erase_if(waiting, [&](const auto& item) {
        keeper.waiter_count -= same(item) ? 1 : 0;
        return same(item);
    });
    // Beyond the bound the router's own repetition of the ask finds the outcome a little later.
    if (keeper.waiter_count < keeper.options.most_waiters) {
        waiting.emplace_back(from, message);
        ++keeper.waiter_count;
    }
    reply(from, {.request = message.request, .word = claim_word::pending}, out);
}

void refuse(claim_keeper& keeper,
            const protocol::sender& from,
            std::uint64_t request,
            claim_word word,
            std::string_view decision,
            effects& out)
{
    ++keeper.counters.refused;
    log_decision(keeper, from, request, decision, out);
    reply(from, {.request = request, .word = word}, out);
}

void answer_holder(claim_keeper& keeper,
                   const protocol::sender& from,
                   const protocol::claim_ask& message,
                   const protocol::claim_entry& entry,
                   effects& out)
{
    if (entry.state != claim_state::held) {
        reply(from, {.request = message.request, .word = claim_word::closed}, out);
        return;
    }
    hold_back(keeper,
              entry.version,
              from,
              protocol::claim_reply{.request = message.request, .word = claim_word::granted});
    detail::release_committed(keeper, out);
}

void answer_other(claim_keeper& keeper,
                  const protocol::sender& from,
                  const protocol::claim_ask& message,
                  const protocol::claim_entry& entry,
                  effects& out)
{
    if (entry.content != message.content) {
        refuse(keeper, from, message.request, claim_word::key_in_use, "key_in_use", out);
    } else if (entry.state == claim_state::ran) {
        replay(keeper, from, message.request, entry, out);
    } else if (entry.state == claim_state::held && keeper.view.live.contains(entry.holder.router)) {
        wait(keeper, from, message, out);
    } else {
        refuse(keeper, from, message.request, claim_word::may_have_run, "may_have_run", out);
    }
}

protocol::claim_entry settled_entry(const protocol::sender& from, const protocol::claim_settle& message)
{
    return {.key = message.key,
            .content = message.content,
            .holder = holder_of(from, message.request),
            .state = message.state,
            .status = message.status,
            .content_type = message.content_type,
            .body = message.body,
            .body_kept = message.body_kept};
}

/// @returns The version under which the outcome is kept, or nothing when it contradicts what is kept.
std::optional<std::uint64_t> take_outcome(claim_keeper& keeper,
                                          const protocol::sender& from,
                                          const protocol::claim_settle& message,
                                          core::instant now)
{
    const auto* present = find(keeper.copy.table, message.key);
    if (present == nullptr) {
        return change(keeper, settled_entry(from, message), now);
    }
    if (!(present->holder == holder_of(from, message.request))) {
        return std::nullopt;
    }
    if (present->state != claim_state::held) {
        return present->version;
    }
    ++keeper.counters.settled;
    return change(keeper, settled_entry(from, message), now);
}

} // namespace

namespace detail
{

void retry_waiters(claim_keeper& keeper, const protocol::claim_digest& key, core::instant now, effects& out)
{
    const auto found = keeper.waiters.find(key);
    if (found == keeper.waiters.end()) {
        return;
    }
    const auto waiting = std::move(found->second);
    keeper.waiters.erase(found);
    keeper.waiter_count -= waiting.size();
    for (const auto& [from, message] : waiting) {
        on_ask(keeper, from, message, now, out);
    }
}

void retry_all_waiters(claim_keeper& keeper, core::instant now, effects& out)
{
    std::vector<protocol::claim_digest> keys;
    keys.reserve(keeper.waiters.size());
    for (const auto& [key, waiting] : keeper.waiters) {
        keys.push_back(key);
    }
    for (const auto& key : keys) {
        retry_waiters(keeper, key, now, out);
    }
}

} // namespace detail

void on_ask(claim_keeper& keeper,
            const protocol::sender& from,
            const protocol::claim_ask& message,
            core::instant now,
            effects& out)
{
    if (redirect(keeper, from, message.request, out)) {
        return;
    }
    const auto* entry = find(keeper.copy.table, message.key);
    const bool is_holder = entry != nullptr && entry->holder == holder_of(from, message.request);
    if (is_holder) {
        answer_holder(keeper, from, message, *entry, out);
    } else if (entry == nullptr || entry->state == claim_state::released) {
        grant(keeper, from, message, now, out);
    } else {
        answer_other(keeper, from, message, *entry, out);
    }
}

void on_settle(claim_keeper& keeper,
               const protocol::sender& from,
               const protocol::claim_settle& message,
               core::instant now,
               effects& out)
{
    if (redirect(keeper, from, message.request, out)) {
        return;
    }
    const protocol::claim_settled acknowledgement{.request = message.request};
    if (const auto version = take_outcome(keeper, from, message, now)) {
        hold_back(keeper, *version, from, acknowledgement);
        detail::replicate(keeper, now, out);
        detail::release_committed(keeper, out);
        detail::retry_waiters(keeper, message.key, now, out);
        return;
    }
    if (message.state != claim_state::released) {
        ++keeper.counters.conflicts;
        out.events.push_back(telemetry::log_event{"claim_conflict"}
                                 .with("domain", keeper.copy.shard.domain.view())
                                 .with("shard", keeper.copy.shard.number)
                                 .with("router", from.id.view())
                                 .with("request", message.request));
    }
    out.messages.push_back({.to = from.id, .body = acknowledgement});
}

} // namespace hibiscusfall::claims
