#include "hibiscusfall/membership/leaving_endpoints.hpp"

#include <algorithm>

namespace hibiscusfall::membership
{

namespace
{

bool believe(leaving_endpoints& state, const core::endpoint_id& id, core::instant until)
{
    const auto [entry, added] = state.until.try_emplace(id, until);
    entry->second = std::max(entry->second, until);
    return added;
}

} // namespace

bool on_listed(leaving_endpoints& state, std::span<const core::endpoint_id> leaving, core::instant now)
{
    bool changed = false;
    for (const auto& id : leaving) {
        changed = believe(state, id, now + state.believed_for) || changed;
    }
    return changed;
}

bool on_notice(leaving_endpoints& state, const protocol::leaving_notice& message, core::instant now)
{
    bool changed = false;
    for (const auto& item : message.endpoints) {
        const auto remaining = std::min(item.remaining, state.believed_for);
        if (!item.id.empty() && remaining > core::duration::zero()) {
            changed = believe(state, item.id, now + remaining) || changed;
        }
    }
    return changed;
}

bool on_tick(leaving_endpoints& state, core::instant now)
{
    return std::erase_if(state.until, [now](const auto& item) { return item.second <= now; }) > 0;
}

protocol::leaving_notice make_notice(leaving_endpoints& state, core::instant now)
{
    protocol::leaving_notice message;
    auto next = state.until.upper_bound(state.position);
    const auto count = std::min(state.until.size(), state.most_in_message);
    for (std::size_t taken = 0; taken < count; ++taken, ++next) {
        if (next == state.until.end()) {
            next = state.until.begin();
        }
        state.position = next->first;
        message.endpoints.push_back({.id = next->first, .remaining = core::elapsed(now, next->second)});
    }
    return message;
}

std::set<core::endpoint_id> leaving_set(const leaving_endpoints& state)
{
    std::set<core::endpoint_id> result;
    for (const auto& [id, until] : state.until) {
        result.insert(id);
    }
    return result;
}

} // namespace hibiscusfall::membership
