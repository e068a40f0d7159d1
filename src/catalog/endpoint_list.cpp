#include "hibiscusfall/catalog/endpoint_list.hpp"

#include <algorithm>

namespace hibiscusfall::catalog
{

namespace
{

bool apply_change(endpoint_list& list, const entry_change& change, core::instant remove_at, core::instant now)
{
    if (change.value) {
        list.pending_removals.erase(change.key);
        auto [position, added] = list.entries.try_emplace(change.key, *change.value);
        if (added) {
            return true;
        }
        if (position->second == *change.value) {
            return false;
        }
        position->second = *change.value;
        return true;
    }
    const auto existing = list.entries.find(change.key);
    if (existing == list.entries.end()) {
        return false;
    }
    // A draining endpoint announced its shutdown and will not register again: remove it at once.
    if (change.removed && remove_at > now && !existing->second.draining) {
        if (list.pending_removals.empty()) {
            list.position_before_removals = list.position;
        }
        list.pending_removals.try_emplace(change.key, remove_at);
        return false;
    }
    list.entries.erase(existing);
    list.pending_removals.erase(change.key);
    return true;
}

} // namespace

store_position confirmed_position(const endpoint_list& list) noexcept
{
    const bool lowered =
        !list.pending_removals.empty() && list.position_before_removals.era == list.position.era;
    return lowered ? list.position_before_removals : list.position;
}

void begin_era(endpoint_list& list, std::uint64_t era) noexcept
{
    if (era > list.position.era) {
        list.position = {.era = era, .revision = 0};
    }
}

void confirm(endpoint_list& list, store_position position) noexcept
{
    list.position = std::max(list.position, position);
}

bool apply_changes(endpoint_list& list,
                   const std::vector<entry_change>& changes,
                   store_position position,
                   core::instant remove_at,
                   core::instant now)
{
    if (position < list.position) {
        return false;
    }
    bool changed = false;
    for (const auto& change : changes) {
        changed = apply_change(list, change, remove_at, now) || changed;
    }
    list.position = position;
    return changed;
}

bool apply_snapshot(endpoint_list& list,
                    const std::vector<entry_change>& snapshot,
                    store_position position,
                    core::instant remove_at,
                    core::instant now)
{
    if (position < list.position) {
        return false;
    }
    std::set<std::string> present;
    bool changed = false;
    for (const auto& change : snapshot) {
        present.insert(change.key);
        changed = apply_change(list, change, remove_at, now) || changed;
    }
    std::vector<entry_change> missing;
    for (const auto& [key, entry] : list.entries) {
        if (!present.contains(key)) {
            missing.push_back({.key = key, .value = {}, .removed = true});
        }
    }
    for (const auto& change : missing) {
        changed = apply_change(list, change, remove_at, now) || changed;
    }
    list.position = position;
    return changed;
}

bool remove_expired(endpoint_list& list, core::instant now)
{
    bool changed = false;
    for (auto position = list.pending_removals.begin(); position != list.pending_removals.end();) {
        if (position->second > now) {
            ++position;
            continue;
        }
        changed = list.entries.erase(position->first) > 0 || changed;
        position = list.pending_removals.erase(position);
    }
    return changed;
}

} // namespace hibiscusfall::catalog
