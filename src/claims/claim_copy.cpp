#include "hibiscusfall/claims/claim_copy.hpp"

#include <algorithm>

namespace hibiscusfall::claims
{

namespace
{

/// Two pages fit into one datagram with their heads.
constexpr std::size_t page_bytes = 3500;

void promise(claim_copy& copy, std::uint64_t term)
{
    if (term > copy.promised) {
        copy.promised = term;
        copy.scan = 0;
        copy.cursor = copy.position;
        copy.keeper = {};
    }
}

void take(claim_copy& copy, const protocol::claim_append& message, core::instant now)
{
    for (const auto& entry : message.entries) {
        put(copy.table, entry, now);
    }
    copy.scan = message.scan;
    copy.cursor = message.through;
    if (message.last) {
        copy.position = std::max(copy.position, message.through);
    }
}

} // namespace

void on_append(claim_copy& copy,
               const protocol::sender& from,
               const protocol::claim_append& message,
               core::instant now,
               effects& out)
{
    promise(copy, message.term);
    if (message.term == copy.promised) {
        copy.keeper = {.id = from.id, .incarnation = from.incarnation};
        copy.keeper_heard = now;
        const bool contiguous = message.after <= std::max(copy.cursor, copy.position);
        const bool fits = message.entries.empty() || has_room(copy.table);
        if (message.scan >= copy.scan && contiguous && fits) {
            take(copy, message, now);
        }
    }
    out.messages.push_back({.to = from.id,
                            .body = protocol::claim_append_reply{.shard = copy.shard,
                                                                 .promised = copy.promised,
                                                                 .scan = copy.scan,
                                                                 .cursor = copy.cursor,
                                                                 .position = copy.position}});
}

void on_promise_ask(claim_copy& copy,
                    const protocol::sender& from,
                    const protocol::claim_promise_ask& message,
                    core::instant now,
                    effects& out)
{
    promise(copy, message.term);
    protocol::claim_promise_page reply{
        .shard = copy.shard, .promised = copy.promised, .after = message.after, .through = message.after};
    if (message.term == copy.promised) {
        auto page = page_after(copy.table, message.after, page_bytes, now);
        reply.through = page.through;
        reply.last = page.last;
        reply.entries = std::move(page.entries);
    }
    out.messages.push_back({.to = from.id, .body = std::move(reply)});
}

} // namespace hibiscusfall::claims
