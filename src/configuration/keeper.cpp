#include "hibiscusfall/configuration/keeper.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusfall::configuration
{

namespace
{

/// Between half of a length and one and a half, so that instances do not read at the same time.
core::duration with_jitter(keeper& state, core::duration length)
{
    constexpr std::uint64_t multiplier = 6364136223846793005U;
    constexpr std::uint64_t increment = 1442695040888963407U;
    constexpr unsigned discarded_bits = 33;
    state.random_state = state.random_state * multiplier + increment;
    const auto part = static_cast<double>((state.random_state >> discarded_bits) % 1000) / 1000.0;
    return core::duration{
        static_cast<core::duration::rep>(static_cast<double>(length.count()) * (0.5 + part))};
}

core::duration poll_interval(const keeper& state)
{
    if (state.watcher) {
        return state.watching ? state.options.watched_poll : state.options.unwatched_poll;
    }
    const auto shared = state.options.poll_per_member * static_cast<core::duration::rep>(state.members);
    return std::max(state.options.shortest_poll, shared);
}

void fetch_next(keeper& state, core::instant now, keeper_effects& out)
{
    std::erase_if(state.offers, [&](const auto& item) { return item.second <= state.revision; });
    if (state.fetching || state.offers.empty()) {
        return;
    }
    const auto best =
        std::max_element(state.offers.begin(), state.offers.end(), [](const auto& left, const auto& right) {
            return left.second < right.second;
        });
    state.fetching = best->first;
    state.fetch_due = now + state.options.fetch_timeout;
    out.fetch_from = best->first;
    state.offers.erase(best);
}

} // namespace

void on_peer_revision(keeper& state,
                      const core::instance_id& peer,
                      std::uint64_t revision,
                      core::instant now,
                      keeper_effects& out)
{
    if (revision <= state.revision) {
        return;
    }
    state.offers[peer] = revision;
    fetch_next(state, now, out);
}

bool on_document(keeper& state, std::uint64_t revision, core::instant now, keeper_effects& out)
{
    if (revision <= state.revision) {
        return false;
    }
    const bool first = state.revision == 0;
    state.revision = revision;
    out.notify = true;
    if (first) {
        state.next_read = now + with_jitter(state, poll_interval(state));
    }
    return true;
}

void on_fetch_ended(keeper& state, core::instant now, keeper_effects& out)
{
    state.fetching.reset();
    fetch_next(state, now, out);
}

void on_store_read(keeper& state, bool reached, core::instant now)
{
    state.reading = false;
    if (reached || state.revision != 0) {
        state.retry = {};
        state.next_read = now + with_jitter(state, poll_interval(state));
    }
    if (state.revision == 0) {
        state.retry = std::clamp(state.retry * 2, state.options.first_retry, state.options.longest_retry);
        state.next_read = now + with_jitter(state, state.retry);
    }
    if (std::exchange(state.read_again, false)) {
        state.next_read = now;
    }
}

void on_members(keeper& state, std::size_t members, bool watcher, core::instant now)
{
    state.members = std::max<std::size_t>(1, members);
    if (watcher && !state.watcher) {
        state.next_read = std::min(state.next_read, now + state.options.unwatched_poll);
    }
    state.watcher = watcher;
}

void on_watch(keeper& state, bool established, core::instant now)
{
    if (established) {
        state.next_read = now; // What changed before the watch began is read.
        state.read_again = state.reading;
    }
    if (!established && state.watching) {
        state.next_read = std::min(state.next_read, now + state.options.unwatched_poll);
    }
    state.watching = established;
}

void on_tick(keeper& state, core::instant now, keeper_effects& out)
{
    if (state.fetching && now >= state.fetch_due) {
        on_fetch_ended(state, now, out);
    }
    if (!state.reading && now >= state.next_read) {
        state.reading = true;
        out.read_store = true;
    }
}

} // namespace hibiscusfall::configuration
