#include "hibiscusfall/catalog/endpoint_list.hpp"

namespace hibiscusfall::catalog
{

namespace
{

bool apply_one(endpoint_list& list, const entry_change& change, core::instant settle_at, core::instant now)
{
    if (change.now) {
        list.lapsing.erase(change.key);
        auto [place, added] = list.entries.try_emplace(change.key, *change.now);
        if (added) {
            return true;
        }
        if (place->second == *change.now) {
            return false;
        }
        place->second = *change.now;
        return true;
    }
    const auto known = list.entries.find(change.key);
    if (known == list.entries.end()) {
        return false;
    }
    // An endpoint that announced its end is not expected back.
    if (change.removed && settle_at > now && !known->second.draining) {
        if (list.lapsing.empty()) {
            list.before_lapse = list.revision;
        }
        list.lapsing.try_emplace(change.key, settle_at);
        return false;
    }
    list.entries.erase(known);
    list.lapsing.erase(change.key);
    return true;
}

} // namespace

std::uint64_t settled_revision(const endpoint_list& list) noexcept
{
    return list.lapsing.empty() ? list.revision : list.before_lapse;
}

bool apply(endpoint_list& list,
           const std::vector<entry_change>& changes,
           std::uint64_t revision,
           core::instant settle_at,
           core::instant now)
{
    if (revision < list.revision) {
        return false;
    }
    bool changed = false;
    for (const auto& change : changes) {
        changed = apply_one(list, change, settle_at, now) || changed;
    }
    list.revision = revision;
    return changed;
}

bool replace(endpoint_list& list,
             const std::vector<entry_change>& all,
             std::uint64_t revision,
             core::instant settle_at,
             core::instant now)
{
    if (revision < list.revision) {
        return false;
    }
    std::set<std::string> present;
    bool changed = false;
    for (const auto& change : all) {
        present.insert(change.key);
        changed = apply_one(list, change, settle_at, now) || changed;
    }
    std::vector<entry_change> missing;
    for (const auto& [key, entry] : list.entries) {
        if (!present.contains(key)) {
            missing.push_back({.key = key, .now = {}, .removed = true});
        }
    }
    for (const auto& change : missing) {
        changed = apply_one(list, change, settle_at, now) || changed;
    }
    list.revision = revision;
    return changed;
}

bool drop_lapsed(endpoint_list& list, core::instant now)
{
    bool changed = false;
    for (auto place = list.lapsing.begin(); place != list.lapsing.end();) {
        if (place->second > now) {
            ++place;
            continue;
        }
        changed = list.entries.erase(place->first) > 0 || changed;
        place = list.lapsing.erase(place);
    }
    return changed;
}

} // namespace hibiscusfall::catalog
