#include "keeper_steps.hpp"

#include <algorithm>
#include <functional>

namespace hibiscusfall::claims
{

namespace
{

/// Most pages that may be on their way to one replica.
constexpr std::size_t largest_window = 16;

} // namespace

namespace detail
{

namespace
{

/// Two pages fit into one datagram with their heads.
constexpr std::size_t page_bytes = 3500;

constexpr std::size_t most_replicas = 3;

protocol::claim_append make_append(const claim_keeper& keeper, const replica_progress& replica)
{
    return {.shard = keeper.copy.shard,
            .term = keeper.term,
            .scan = replica.scan,
            .after = replica.sent,
            .through = replica.sent};
}

void send(const protocol::claim_member& to,
          replica_progress& replica,
          protocol::claim_append message,
          core::instant now,
          effects& out)
{
    replica.sent = message.through;
    replica.last_sent = now;
    ++replica.in_flight;
    out.messages.push_back({.to = to.id, .body = std::move(message)});
}

/// Goes back to what was acknowledged when replies stay away.
void restart_if_stuck(const claim_keeper& keeper, replica_progress& replica, core::instant now)
{
    const bool overdue = core::elapsed(replica.last_sent, now) >= keeper.options.resend_interval;
    if (replica.cursor >= replica.sent && overdue) {
        replica.in_flight = 0; // What is missing are replies to heartbeats.
    }
    if (replica.scan == 0 || (replica.cursor < replica.sent && overdue)) {
        replica.cursor = std::max(replica.cursor, replica.position);
        replica.sent = replica.cursor;
        replica.in_flight = 0;
        replica.window = 1;
        ++replica.scan;
    }
}

void send_pages(claim_keeper& keeper,
                const protocol::claim_member& to,
                replica_progress& replica,
                core::instant now,
                effects& out)
{
    while (replica.sent < keeper.last_version && replica.in_flight < replica.window) {
        auto page = page_after(keeper.copy.table, replica.sent, page_bytes, now);
        auto message = make_append(keeper, replica);
        message.through = page.last ? keeper.last_version : page.through;
        message.last = page.last;
        message.entries = std::move(page.entries);
        send(to, replica, std::move(message), now, out);
    }
}

void replicate_to(claim_keeper& keeper, const protocol::claim_member& to, core::instant now, effects& out)
{
    auto& replica = keeper.replicas[to];
    const auto silent = core::elapsed(replica.last_sent, now);
    if (!replica.known) {
        if (silent >= keeper.options.resend_interval) {
            send(to, replica, make_append(keeper, replica), now, out);
        }
        return;
    }
    restart_if_stuck(keeper, replica, now);
    send_pages(keeper, to, replica, now, out);
    if (replica.sent >= keeper.last_version && silent >= keeper.options.heartbeat_interval) {
        auto heartbeat = make_append(keeper, replica);
        heartbeat.last = true;
        send(to, replica, std::move(heartbeat), now, out);
    }
}

bool is_live(const claim_keeper& keeper, const protocol::claim_member& member)
{
    return keeper.view.live.contains(member);
}

bool is_in_force(const claim_keeper& keeper, const protocol::claim_member& member)
{
    const auto& members = keeper.store.record->members;
    return keeper.role == keeper_role::serving &&
           std::find(members.begin(), members.end(), member) != members.end();
}

bool may_join(const claim_keeper& keeper, const protocol::claim_member& member)
{
    const auto found = keeper.replicas.find(member);
    if (member == keeper.self || !is_live(keeper, member) || found == keeper.replicas.end() ||
        !found->second.known) {
        return false;
    }
    return is_in_force(keeper, member) || found->second.position >= keeper.committed;
}

} // namespace

std::uint64_t quorum_position(const claim_keeper& keeper,
                              std::span<const protocol::claim_member> members,
                              std::uint64_t store)
{
    std::vector<std::uint64_t> positions{store};
    for (const auto& member : members) {
        const auto found = keeper.replicas.find(member);
        if (member == keeper.self) {
            positions.push_back(keeper.last_version);
        } else {
            positions.push_back(found == keeper.replicas.end() ? 0 : found->second.position);
        }
    }
    std::sort(positions.begin(), positions.end(), std::greater<>{});
    return positions.at(majority_of(members.size()) - 1);
}

void advance_committed(claim_keeper& keeper)
{
    if (keeper.role != keeper_role::serving) {
        return;
    }
    const auto& store = keeper.store;
    auto reached = quorum_position(keeper, store.record->members, store.record->position);
    if (store.proposed) {
        reached = std::min(reached, quorum_position(keeper, *store.proposed, store.record->position));
    }
    keeper.committed = std::max(keeper.committed, reached);
}

void release_committed(claim_keeper& keeper, effects& out)
{
    advance_committed(keeper);
    if (keeper.role != keeper_role::serving || keeper.held_back.empty()) {
        return;
    }
    const auto end = keeper.held_back.upper_bound(keeper.committed);
    for (auto next = keeper.held_back.begin(); next != end; ++next) {
        out.messages.push_back(std::move(next->second));
    }
    keeper.held_back.erase(keeper.held_back.begin(), end);
}

std::set<protocol::claim_member> replication_targets(const claim_keeper& keeper)
{
    std::set<protocol::claim_member> targets(keeper.view.preferred.begin(), keeper.view.preferred.end());
    if (keeper.store.record) {
        targets.insert(keeper.store.record->members.begin(), keeper.store.record->members.end());
    }
    if (keeper.store.proposed) {
        targets.insert(keeper.store.proposed->begin(), keeper.store.proposed->end());
    }
    std::erase_if(targets, [&](const auto& member) { return !is_live(keeper, member); });
    targets.erase(keeper.self);
    return targets;
}

std::vector<protocol::claim_member> wanted_set(const claim_keeper& keeper)
{
    std::vector<protocol::claim_member> wanted{keeper.self};
    const auto add = [&](const protocol::claim_member& member) {
        const bool there = std::find(wanted.begin(), wanted.end(), member) != wanted.end();
        if (!there && wanted.size() <= most_replicas && may_join(keeper, member)) {
            wanted.push_back(member);
        }
    };
    for (const auto& member : keeper.view.preferred) {
        add(member);
    }
    for (const auto& member : keeper.store.record->members) {
        add(member);
    }
    std::sort(wanted.begin(), wanted.end());
    return wanted;
}

void replicate(claim_keeper& keeper, core::instant now, effects& out)
{
    if (keeper.role < keeper_role::installing) {
        return;
    }
    const auto targets = replication_targets(keeper);
    for (const auto& target : targets) {
        replicate_to(keeper, target, now, out);
    }
    release_committed(keeper, out);
}

} // namespace detail

void on_append_reply(claim_keeper& keeper,
                     const protocol::sender& from,
                     const protocol::claim_append_reply& message,
                     core::instant now,
                     effects& out)
{
    if (keeper.role < keeper_role::installing) {
        return;
    }
    if (message.promised > keeper.term) {
        keeper.copy.promised = std::max(keeper.copy.promised, message.promised);
        detail::step_down(keeper, from.id.str() + " has promised a higher term", now, out);
        return;
    }
    const auto found = keeper.replicas.find({.id = from.id, .incarnation = from.incarnation});
    if (found == keeper.replicas.end() || message.promised < keeper.term) {
        return;
    }
    auto& replica = found->second;
    replica.known = true;
    replica.position = std::max(replica.position, message.position);
    if (message.scan == replica.scan) {
        replica.cursor = std::max(replica.cursor, message.cursor);
        replica.in_flight -= replica.in_flight > 0 ? 1 : 0;
        replica.window = std::min(replica.window + 1, largest_window);
    }
    detail::replicate(keeper, now, out);
}

} // namespace hibiscusfall::claims
