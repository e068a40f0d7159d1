#include "gossip.hpp"

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>
#include <utility>

namespace hibiscusfall::membership::detail
{

namespace
{

using protocol::member_record;
using protocol::member_status;

constexpr std::size_t repeats_per_doubling = 2;

bool is_newer(const member_record& offered, const member_record& known) noexcept
{
    return std::tie(offered.incarnation, offered.refutation, offered.status) >
           std::tie(known.incarnation, known.refutation, known.status);
}

/// Compares the start and the refutation only.
bool is_older(const member_record& left, const member_record& right) noexcept
{
    return std::tie(left.incarnation, left.refutation) < std::tie(right.incarnation, right.refutation);
}

bool is_same_age(const member_record& left, const member_record& right) noexcept
{
    return left.incarnation == right.incarnation && left.refutation == right.refutation;
}

bool is_live(member_status status) noexcept
{
    return status == member_status::alive || status == member_status::suspect;
}

void report(const member_record& record, effects& out)
{
    out.transitions.push_back({.id = record.id, .status = record.status, .incarnation = record.incarnation});
}

void merge_own(membership& state, const member_record& record, effects& out)
{
    const bool same = is_same_age(record, state.self);
    if (same && record.status == member_status::leaving && state.self.status == member_status::alive) {
        state.self.status = member_status::leaving;
        rebuild_live(state);
        out.live_changed = true;
        report(state.self, out);
    } else if (record.incarnation == state.self.incarnation && is_newer(record, state.self)) {
        // A higher incarnation belongs to a later process of the same name, which is not refuted.
        state.self.refutation = record.refutation + 1;
        rebuild_live(state);
    } else if (record.incarnation > state.self.incarnation && record.inner == state.self.inner) {
        // But this process holds the address, so one that was reached there can only have been before it.
        out.outdated_by = record.incarnation;
    }
}

/// Another instance removed a member that this one still counts: it may be wrong, so the member can refute.
void merge_removal(membership& state, member& known, core::instant now, effects& out)
{
    if (known.record.status == member_status::removed || known.doubt_until) {
        return;
    }
    suspect(state, known, now, out);
}

void merge_known(
    membership& state, member& known, const member_record& record, core::instant now, effects& out)
{
    const auto before = known.record.status;
    const bool restarted = known.record.incarnation != record.incarnation;
    known.record = record;
    known.doubt_until.reset();
    if (record.status == member_status::suspect) {
        known.doubt_until = now + suspicion_time(state);
    }
    if (before == member_status::removed) {
        state.last_return = now;
    }
    if (before != record.status || restarted) {
        report(record, out);
    }
    // A restarted instance has lost its memory, which is a change also when nobody saw it gone.
    out.live_changed = out.live_changed || is_live(before) != is_live(record.status) ||
                       (restarted && is_live(record.status));
    rebuild_live(state);
    spread(state, record.id);
}

/// The next record of the slow pass over all members; null when there is none.
const member* next_in_pass(membership& state)
{
    auto next = state.others.upper_bound(state.sync_position);
    for (std::size_t seen = 0; seen < state.others.size(); ++seen) {
        if (next == state.others.end()) {
            next = state.others.begin();
        }
        if (next->second.record.status != member_status::removed) {
            state.sync_position = next->first;
            return &next->second;
        }
        ++next;
    }
    return nullptr;
}

/// Takes up to options.updates changed records, those sent the fewest times first.
void add_updates(membership& state, const core::instance_id& receiver, std::vector<member_record>& records)
{
    std::vector<std::pair<std::size_t, core::instance_id>> waiting;
    for (const auto& [id, left] : state.updates) {
        if (id != receiver) {
            waiting.emplace_back(left, id);
        }
    }
    const auto count = std::min(state.options.updates, waiting.size());
    const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(waiting.begin(), end, waiting.end(), std::greater<>{});
    waiting.resize(count);
    for (const auto& [left, id] : waiting) {
        if (left <= 1) {
            state.updates.erase(id);
        } else {
            state.updates[id] = left - 1;
        }
        const auto found = state.others.find(id);
        if (found != state.others.end() && found->second.record.status != member_status::removed) {
            records.push_back(found->second.record);
        }
    }
}

} // namespace

std::size_t pick_below(membership& state, std::size_t bound) noexcept
{
    // splitmix64
    state.random_state += 0x9E3779B97F4A7C15U;
    auto mixed = state.random_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
    return bound == 0 ? 0 : static_cast<std::size_t>((mixed ^ (mixed >> 31U)) % bound);
}

void rebuild_live(membership& state)
{
    state.live.clear();
    bool self_placed = !is_live(state.self.status);
    for (const auto& [id, entry] : state.others) {
        if (!self_placed && state.self.id < id) {
            state.live.push_back(state.self);
            self_placed = true;
        }
        if (is_live(entry.record.status)) {
            state.live.push_back(entry.record);
        }
    }
    if (!self_placed) {
        state.live.push_back(state.self);
    }
}

void spread(membership& state, const core::instance_id& id)
{
    const auto members = state.others.size() + 1;
    state.updates[id] = repeats_per_doubling * (static_cast<std::size_t>(std::bit_width(members)) + 1);
}

void suspect(membership& state, member& target, core::instant now, effects& out)
{
    if (target.doubt_until || target.record.status == member_status::removed) {
        return;
    }
    target.doubt_until = now + suspicion_time(state);
    if (target.record.status == member_status::alive) {
        target.record.status = member_status::suspect;
        report(target.record, out);
        rebuild_live(state);
        spread(state, target.record.id);
    }
}

void end_suspicions(membership& state, core::instant now, effects& out)
{
    bool changed = false;
    for (auto& [id, entry] : state.others) {
        if (!entry.doubt_until || *entry.doubt_until > now) {
            continue;
        }
        out.live_changed = out.live_changed || is_live(entry.record.status);
        entry.doubt_until.reset();
        entry.record.status = member_status::removed;
        entry.removed_at = now;
        state.updates.erase(id);
        report(entry.record, out);
        changed = true;
    }
    std::erase_if(state.others, [&](const auto& item) {
        return item.second.record.status == member_status::removed &&
               core::elapsed(item.second.removed_at, now) > state.options.forget_after;
    });
    if (changed) {
        rebuild_live(state);
    }
}

void merge(membership& state, const member_record& record, bool direct, core::instant now, effects& out)
{
    if (record.id.empty() || !record.inner) {
        return;
    }
    if (record.id == state.self.id) {
        merge_own(state, record, out);
        return;
    }
    const auto found = state.others.find(record.id);
    if (found == state.others.end()) {
        if (record.status == member_status::removed) {
            return;
        }
        auto& added = state.others[record.id];
        added.heard = now;
        added.record.status = member_status::removed; // Nothing is known yet: any record is news.
        const auto last_return = state.last_return;
        merge_known(state, added, record, now, out);
        state.last_return = last_return;
        return;
    }
    auto& known = found->second;
    if (direct) {
        known.heard = now;
    }
    if (record.status == member_status::removed) {
        if (!is_older(record, known.record)) {
            merge_removal(state, known, now, out);
        }
    } else if (is_newer(record, known.record)) {
        merge_known(state, known, record, now, out);
    }
}

protocol::heartbeat
make_heartbeat(membership& state, const core::instance_id& receiver, std::uint64_t round, bool wants_answer)
{
    protocol::heartbeat message{.round = round,
                                .configuration_revision = state.configuration_revision,
                                .wants_answer = wants_answer,
                                .records = {state.self}};
    const auto found = state.others.find(receiver);
    if (found != state.others.end() && found->second.record.status != member_status::alive) {
        message.records.push_back(found->second.record);
    }
    add_updates(state, receiver, message.records);
    if (message.records.size() <= state.options.updates) {
        if (const auto* next = next_in_pass(state); next != nullptr && next->record.id != receiver) {
            message.records.push_back(next->record);
        }
    }
    return message;
}

} // namespace hibiscusfall::membership::detail
