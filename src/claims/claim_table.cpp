#include "hibiscusfall/claims/claim_table.hpp"

#include "hibiscusfall/protocol/claim_record_codec.hpp"

namespace hibiscusfall::claims
{

namespace
{

/// Memory of one claim beside its texts: the entry, two index nodes and their overhead.
constexpr std::size_t fixed_claim_bytes = sizeof(kept_claim) + 128;

std::size_t memory_of(const protocol::claim_entry& entry)
{
    return fixed_claim_bytes + entry.holder.router.id.str().size() + entry.content_type.size();
}

void remove(claim_table& table, const protocol::claim_digest& key)
{
    const auto found = table.claims.find(key);
    const auto& entry = found->second.entry;
    table.bytes -= memory_of(entry);
    table.body_bytes -= entry.body.size();
    table.by_version.erase(entry.version);
    table.claims.erase(found);
}

void drop_body(claim_table& table, const protocol::claim_digest& key)
{
    const auto found = table.claims.find(key);
    if (found == table.claims.end()) {
        return;
    }
    auto& entry = found->second.entry;
    table.body_bytes -= entry.body.size();
    entry.body.clear();
    entry.body.shrink_to_fit();
    entry.body_kept = false;
}

void drop_oldest_bodies(claim_table& table)
{
    while (table.body_bytes > table.limits.body_bytes && !table.with_body.empty()) {
        drop_body(table, table.with_body.front());
        table.with_body.pop_front();
    }
}

} // namespace

const protocol::claim_entry* find(const claim_table& table, const protocol::claim_digest& key)
{
    const auto found = table.claims.find(key);
    return found == table.claims.end() ? nullptr : &found->second.entry;
}

bool has_room(const claim_table& table)
{
    return table.bytes + fixed_claim_bytes <= table.limits.table_bytes;
}

void put(claim_table& table, const protocol::claim_entry& entry, core::instant now)
{
    if (const auto* present = find(table, entry.key)) {
        if (present->version >= entry.version) {
            return;
        }
        remove(table, entry.key);
    }
    table.bytes += memory_of(entry);
    table.body_bytes += entry.body.size();
    table.by_version.emplace(entry.version, entry.key);
    table.claims.emplace(entry.key, kept_claim{.entry = entry, .changed = now - entry.age});
    if (!entry.body.empty()) {
        table.with_body.push_back(entry.key);
        drop_oldest_bodies(table);
    }
}

claim_page
page_after(const claim_table& table, std::uint64_t after, std::size_t most_bytes, core::instant now)
{
    claim_page page{.entries = {}, .through = after, .last = false};
    std::size_t bytes = 0;
    auto next = table.by_version.upper_bound(after);
    for (; next != table.by_version.end(); ++next) {
        const auto& kept = table.claims.at(next->second);
        bytes += protocol::packed_size(kept.entry);
        if (bytes > most_bytes && !page.entries.empty()) {
            break;
        }
        page.entries.push_back(kept.entry);
        page.entries.back().age = core::elapsed(kept.changed, now);
        page.through = next->first;
    }
    page.last = next == table.by_version.end();
    return page;
}

std::size_t expire(claim_table& table, core::instant now)
{
    std::size_t dropped = 0;
    while (!table.by_version.empty()) {
        const auto key = table.by_version.begin()->second;
        if (core::elapsed(table.claims.at(key).changed, now) <= table.limits.retention) {
            break;
        }
        remove(table, key);
        if (!table.with_body.empty() && table.with_body.front() == key) {
            table.with_body.pop_front();
        }
        ++dropped;
    }
    return dropped;
}

} // namespace hibiscusfall::claims
