#include "hibiscusfall/membership/membership.hpp"

#include "gossip.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscusfall::membership
{

namespace
{

using protocol::member_status;

bool is_removed(const member& entry) noexcept
{
    return entry.record.status == member_status::removed;
}

void send_probe(membership& state, const member& target, probe kept, effects& out)
{
    const auto round = ++state.round;
    kept.target = target.record.id;
    out.messages.push_back(
        {.to = target.record.inner, .body = detail::make_heartbeat(state, target.record.id, round, true)});
    state.probes.emplace(round, std::move(kept));
}

/// Starts the next pass over all members, in a new random order.
void refill_order(membership& state)
{
    for (const auto& [id, entry] : state.others) {
        if (!is_removed(entry)) {
            state.order.push_back(id);
        }
    }
    for (std::size_t left = state.order.size(); left > 1; --left) {
        std::swap(state.order[left - 1], state.order[detail::pick_below(state, left)]);
    }
}

void probe_next(membership& state, core::instant now, effects& out)
{
    if (state.order.empty()) {
        refill_order(state);
    }
    while (!state.order.empty()) {
        const auto id = std::move(state.order.back());
        state.order.pop_back();
        const auto found = state.others.find(id);
        if (found != state.others.end() && !is_removed(found->second)) {
            send_probe(state, found->second, {.due = now + state.options.answer_timeout}, out);
            return;
        }
    }
}

bool has_member_at(const membership& state, const core::address& address)
{
    return address == state.self.inner ||
           std::any_of(state.others.begin(), state.others.end(), [&](const auto& item) {
               return !is_removed(item.second) && item.second.record.inner == address;
           });
}

bool probe_contact(membership& state, effects& out)
{
    for (std::size_t seen = 0; seen < state.contacts.size(); ++seen) {
        const auto& address = state.contacts[state.contact_position++ % state.contacts.size()];
        if (!has_member_at(state, address)) {
            const auto round = ++state.round;
            out.messages.push_back(
                {.to = address, .body = detail::make_heartbeat(state, core::instance_id{}, round, true)});
            return true;
        }
    }
    return false;
}

bool probe_removed(membership& state, effects& out)
{
    auto next = state.others.upper_bound(state.rare_position);
    for (std::size_t seen = 0; seen < state.others.size(); ++seen, ++next) {
        if (next == state.others.end()) {
            next = state.others.begin();
        }
        if (is_removed(next->second)) {
            state.rare_position = next->first;
            const auto round = ++state.round;
            out.messages.push_back({.to = next->second.record.inner,
                                    .body = detail::make_heartbeat(state, next->first, round, true)});
            return true;
        }
    }
    return false;
}

/// Keeps asking those who are gone or were never heard, so that separated parts find each other again.
void probe_rarely(membership& state, core::instant now, effects& out)
{
    const bool alone = state.live.size() <= 1;
    const bool rejoining = state.last_return != core::instant{} &&
                           core::elapsed(state.last_return, now) < state.options.rejoin_period;
    if (!alone && !rejoining && now < state.next_rare_probe) {
        return;
    }
    state.next_rare_probe = now + state.options.rare_probe_interval;
    state.probe_contact_next = !state.probe_contact_next;
    if (state.probe_contact_next) {
        static_cast<void>(probe_contact(state, out) || probe_removed(state, out));
    } else {
        static_cast<void>(probe_removed(state, out) || probe_contact(state, out));
    }
}

void ask_helpers(membership& state, std::uint64_t round, const core::instance_id& target, effects& out)
{
    for (const auto& helper : pick_live(state, state.options.helpers + 1)) {
        if (helper.id != target) {
            out.messages.push_back(
                {.to = helper.inner, .body = protocol::probe_request{.round = round, .target = target}});
        }
    }
}

void end_probes(membership& state, core::instant now, effects& out)
{
    for (auto item = state.probes.begin(); item != state.probes.end();) {
        auto& [round, kept] = *item;
        if (kept.due > now) {
            ++item;
        } else if (!kept.indirect && !kept.on_behalf_of) {
            kept.indirect = true;
            kept.due = now + state.options.indirect_timeout;
            ask_helpers(state, round, kept.target, out);
            ++item;
        } else {
            const auto found = state.others.find(kept.target);
            if (!kept.on_behalf_of && found != state.others.end() && !found->second.doubt_until) {
                detail::suspect(state, found->second, now, out);
                // Tells the suspect at once, so that it can refute.
                out.messages.push_back(
                    {.to = found->second.record.inner,
                     .body = detail::make_heartbeat(state, kept.target, ++state.round, true)});
            }
            item = state.probes.erase(item);
        }
    }
}

/// After a pause nothing can be said of the others: all their answers were lost here.
void forgive_pause(membership& state, core::instant now)
{
    const auto gap = state.last_tick ? core::elapsed(*state.last_tick, now) : core::duration{};
    state.last_tick = now;
    if (gap <= state.options.pause_limit) {
        return;
    }
    state.probes.clear();
    for (auto& [id, entry] : state.others) {
        if (entry.doubt_until) {
            entry.doubt_until = now + suspicion_time(state);
        }
    }
}

/// Reads the lists of members picked at random, so that no instance carries a large start alone.
void pull_page(membership& state, core::instant now, effects& out)
{
    if (!state.pull_until || now > *state.pull_until || now < state.next_page) {
        return;
    }
    state.next_page = now + state.options.page_interval;
    for (const auto& source : pick_live(state, 1)) {
        out.messages.push_back(
            {.to = source.inner, .body = protocol::member_page_request{.after = state.page_position}});
    }
}

} // namespace

void start(membership& state,
           protocol::member_record self,
           std::vector<core::address> seeds,
           std::uint64_t random_seed)
{
    state.self = std::move(self);
    state.contacts = std::move(seeds);
    state.random_state = random_seed;
    detail::rebuild_live(state);
}

void on_heartbeat(membership& state, const protocol::heartbeat& message, core::instant now, effects& out)
{
    if (message.records.empty() || message.records.front().id == state.self.id) {
        return;
    }
    const auto& sender = message.records.front();
    const bool first_contact = state.others.empty();
    for (const auto& record : message.records) {
        detail::merge(state, record, record.id == sender.id, now, out);
    }
    const auto kept = state.probes.find(message.round);
    if (!message.wants_answer && kept != state.probes.end() && kept->second.target == sender.id) {
        if (kept->second.on_behalf_of) {
            out.messages.push_back({.to = kept->second.on_behalf_of,
                                    .body = protocol::probe_result{.round = kept->second.their_round}});
        }
        state.probes.erase(kept);
    }
    if (message.wants_answer && sender.inner) {
        out.messages.push_back(
            {.to = sender.inner, .body = detail::make_heartbeat(state, sender.id, message.round, false)});
    }
    if (first_contact) {
        state.pull_until = now + state.options.pull_period;
        pull_page(state, now, out);
    }
    if (message.configuration_revision > state.configuration_revision) {
        out.newer_revisions.push_back({.id = sender.id, .revision = message.configuration_revision});
    }
}

void on_probe_request(membership& state,
                      const core::instance_id& from,
                      const protocol::probe_request& message,
                      core::instant now,
                      effects& out)
{
    const auto* origin = find_address(state, from);
    const auto target = state.others.find(message.target);
    if (origin == nullptr || target == state.others.end()) {
        return;
    }
    send_probe(
        state,
        target->second,
        {.due = now + state.options.indirect_timeout, .on_behalf_of = *origin, .their_round = message.round},
        out);
}

void on_probe_result(membership& state, const protocol::probe_result& message)
{
    state.probes.erase(message.round);
}

void on_page_request(membership& state,
                     const core::instance_id& from,
                     const protocol::member_page_request& message,
                     effects& out)
{
    const auto* origin = find_address(state, from);
    if (origin == nullptr) {
        return;
    }
    protocol::member_page page;
    auto next = state.others.upper_bound(message.after);
    for (; next != state.others.end() && page.records.size() < state.options.page_records; ++next) {
        if (!is_removed(next->second) && next->first != from) {
            page.records.push_back(next->second.record);
        }
    }
    page.last = next == state.others.end();
    out.messages.push_back({.to = *origin, .body = std::move(page)});
}

void on_page(membership& state, const protocol::member_page& message, core::instant now, effects& out)
{
    const auto known = state.others.size();
    for (const auto& record : message.records) {
        detail::merge(state, record, false, now, out);
    }
    if (state.pull_until && state.others.size() > known) {
        state.pull_until = now + state.options.pull_period;
    }
    if (message.last) {
        state.page_position = {};
    } else if (!message.records.empty()) {
        state.page_position = message.records.back().id;
    }
}

void on_tick(membership& state, core::instant now, effects& out)
{
    forgive_pause(state, now);
    end_probes(state, now, out);
    detail::end_suspicions(state, now, out);
    if (now >= state.next_heartbeat) {
        state.next_heartbeat = now + state.options.heartbeat_interval;
        probe_next(state, now, out);
    }
    probe_rarely(state, now, out);
    pull_page(state, now, out);
}

void on_platform_list(membership& state,
                      std::span<const listed_instance> list,
                      core::instant now,
                      effects& out)
{
    std::set<core::instance_id> leaving;
    for (const auto& item : list) {
        if (!item.leaving) {
            if (std::find(state.contacts.begin(), state.contacts.end(), item.inner) == state.contacts.end()) {
                state.contacts.push_back(item.inner);
            }
            continue;
        }
        leaving.insert(item.id);
        if (state.listed_leaving.contains(item.id)) {
            continue;
        }
        std::erase(state.contacts, item.inner);
        if (item.id == state.self.id) {
            leave(state, now, out);
        } else if (const auto found = state.others.find(item.id); found != state.others.end()) {
            auto record = found->second.record;
            record.status = member_status::leaving;
            detail::merge(state, record, false, now, out);
        }
    }
    state.listed_leaving = std::move(leaving);
}

void leave(membership& state, core::instant now, effects& out)
{
    constexpr std::size_t told_at_once = 3;
    if (state.self.status == member_status::leaving) {
        return;
    }
    state.self.status = member_status::leaving;
    detail::rebuild_live(state);
    out.live_changed = true;
    for (const auto& record : pick_live(state, told_at_once)) {
        send_probe(state, state.others.at(record.id), {.due = now + state.options.answer_timeout}, out);
    }
}

const core::address* find_address(const membership& state, const core::instance_id& id) noexcept
{
    const auto found = state.others.find(id);
    return found == state.others.end() || is_removed(found->second) ? nullptr : &found->second.record.inner;
}

std::vector<protocol::member_record> pick_live(membership& state, std::size_t count)
{
    std::vector<protocol::member_record> picked;
    std::size_t first = detail::pick_below(state, state.live.size());
    for (std::size_t seen = 0; seen < state.live.size() && picked.size() < count; ++seen) {
        const auto& record = state.live[(first + seen) % state.live.size()];
        if (record.id != state.self.id) {
            picked.push_back(record);
        }
    }
    return picked;
}

core::duration suspicion_time(const membership& state) noexcept
{
    const auto members = static_cast<double>(state.live.size());
    const double factor = std::max(1.0, std::log10(std::max(members, 1.0)));
    return core::duration{
        static_cast<core::duration::rep>(static_cast<double>(state.options.suspicion.count()) * factor)};
}

} // namespace hibiscusfall::membership
