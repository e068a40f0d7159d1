#include "hibiscusfall/catalog/endpoint_list.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusfall::catalog
{

namespace
{

void record_removal(endpoint_list& list, const std::string& key, std::int64_t start_time, core::instant now)
{
    auto& removals = list.recent_removals;
    std::erase_if(removals, [&](const auto& each) {
        return now - each.second.removed_at > max_copy_age + settling_time;
    });
    removals.insert_or_assign(key, recent_removal{.start_time_ms = start_time, .removed_at = now});
    if (removals.size() > max_recent_removals) {
        removals.erase(std::min_element(removals.begin(), removals.end(), [](const auto& a, const auto& b) {
            return a.second.removed_at < b.second.removed_at;
        }));
    }
}

/// Whether the entry may come from a copy that is older than what is known of its endpoint.
bool may_be_outdated(const endpoint_list& list,
                     const std::string& key,
                     const endpoint& shown,
                     core::instant now)
{
    if (!is_settling(list, now)) {
        return false;
    }
    if (const auto known = list.entries.find(key); known != list.entries.end()) {
        const auto& entry = known->second;
        return shown.start_time_ms < entry.start_time_ms ||
               (shown.start_time_ms == entry.start_time_ms && entry.draining && !shown.draining);
    }
    const auto removal = list.recent_removals.find(key);
    return removal != list.recent_removals.end() && removal->second.removed_at < *list.restored_at &&
           *list.restored_at - removal->second.removed_at <= max_copy_age &&
           shown.start_time_ms <= removal->second.start_time_ms;
}

bool put_entry(endpoint_list& list, const std::string& key, const endpoint& value)
{
    list.withheld.erase(key);
    list.pending_removals.erase(key);
    list.recent_removals.erase(key);
    const auto [position, added] = list.entries.try_emplace(key, value);
    if (added) {
        return true;
    }
    if (position->second == value) {
        return false;
    }
    position->second = value;
    return true;
}

bool apply_change(endpoint_list& list, const entry_change& change, core::instant remove_at, core::instant now)
{
    if (change.value) {
        if (may_be_outdated(list, change.key, *change.value, now)) {
            list.withheld.insert_or_assign(change.key, *change.value);
            return false;
        }
        return put_entry(list, change.key, *change.value);
    }
    list.withheld.erase(change.key);
    const auto existing = list.entries.find(change.key);
    if (existing == list.entries.end()) {
        return false;
    }
    const bool settling = is_settling(list, now);
    const auto keep_until =
        settling ? std::max(remove_at, *list.restored_at + reregistration_grace) : remove_at;
    // A draining endpoint announced its shutdown and will not register again: remove it at once.
    if (change.removed && keep_until > now && !existing->second.draining) {
        if (list.pending_removals.empty()) {
            // All instances keep entries after a restoration, so the list counts as new as the store.
            list.position_before_removals = settling ? store_position{} : list.position;
        }
        list.pending_removals.try_emplace(change.key, keep_until);
        return false;
    }
    if (change.removed) {
        record_removal(list, change.key, existing->second.start_time_ms, now);
    }
    list.entries.erase(existing);
    list.pending_removals.erase(change.key);
    return true;
}

/// Puts the withheld entries into force after the settling period.
bool end_settling(endpoint_list& list, core::instant now)
{
    if (!list.restored_at || is_settling(list, now)) {
        return false;
    }
    list.restored_at.reset();
    bool changed = false;
    for (const auto& [key, value] : std::exchange(list.withheld, {})) {
        changed = put_entry(list, key, value) || changed;
    }
    return changed;
}

} // namespace

store_position confirmed_position(const endpoint_list& list) noexcept
{
    const bool lowered =
        !list.pending_removals.empty() && list.position_before_removals.era == list.position.era;
    return lowered ? list.position_before_removals : list.position;
}

void begin_era(endpoint_list& list, std::uint64_t era, core::instant now) noexcept
{
    if (era <= list.position.era) {
        return;
    }
    if (list.position != store_position{}) {
        list.restored_at = now;
        for (auto& [key, remove_at] : list.pending_removals) {
            remove_at = std::max(remove_at, now + reregistration_grace);
        }
    }
    list.position = {.era = era, .revision = 0};
}

bool is_settling(const endpoint_list& list, core::instant now) noexcept
{
    return list.restored_at && now - *list.restored_at < settling_time;
}

void confirm(endpoint_list& list, store_position position, core::instant now) noexcept
{
    begin_era(list, position.era, now);
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
    begin_era(list, position.era, now);
    bool changed = end_settling(list, now);
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
    begin_era(list, position.era, now);
    bool changed = end_settling(list, now);
    std::set<std::string> present;
    for (const auto& change : snapshot) {
        present.insert(change.key);
        changed = apply_change(list, change, remove_at, now) || changed;
    }
    std::erase_if(list.withheld, [&](const auto& each) { return !present.contains(each.first); });
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

bool apply_deadlines(endpoint_list& list, core::instant now)
{
    bool changed = end_settling(list, now);
    for (auto position = list.pending_removals.begin(); position != list.pending_removals.end();) {
        if (position->second > now) {
            ++position;
            continue;
        }
        if (const auto entry = list.entries.find(position->first); entry != list.entries.end()) {
            record_removal(list, entry->first, entry->second.start_time_ms, now);
            list.entries.erase(entry);
            changed = true;
        }
        position = list.pending_removals.erase(position);
    }
    return changed;
}

} // namespace hibiscusfall::catalog
