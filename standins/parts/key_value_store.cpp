#include "standins/parts/key_value_store.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusfall::standins
{

namespace
{

constexpr std::size_t longest_log = 100000;

template <class type>
bool relates(const type& actual, compare_relation relation, const type& wanted)
{
    switch (relation) {
    case compare_relation::equal:
        return actual == wanted;
    case compare_relation::greater:
        return actual > wanted;
    case compare_relation::less:
        return actual < wanted;
    case compare_relation::not_equal:
        return actual != wanted;
    }
    return false;
}

bool writes(const std::vector<operation>& operations)
{
    return std::any_of(operations.begin(), operations.end(), [](const operation& item) {
        return !std::holds_alternative<range_operation>(item);
    });
}

} // namespace

bool key_range::contains(const std::string& candidate) const
{
    if (this->end.empty()) {
        return candidate == this->key;
    }
    return candidate >= this->key && (this->end == std::string(1, '\0') || candidate < this->end);
}

bool key_value_store::holds(const comparison& condition) const
{
    const auto found = this->entries.find(condition.key);
    const auto entry = found == this->entries.end() ? stored_entry{} : found->second;
    switch (condition.target) {
    case compare_target::version:
        return relates(entry.version, condition.relation, condition.number);
    case compare_target::create:
        return relates(entry.create_revision, condition.relation, condition.number);
    case compare_target::mod:
        return relates(entry.mod_revision, condition.relation, condition.number);
    case compare_target::value:
        return found != this->entries.end() && relates(entry.value, condition.relation, condition.value);
    }
    return false;
}

transaction_result key_value_store::transact(const std::vector<comparison>& conditions,
                                             const std::vector<operation>& on_success,
                                             const std::vector<operation>& on_failure)
{
    const std::lock_guard lock(this->mutex);
    transaction_result result;
    result.succeeded = std::all_of(
        conditions.begin(), conditions.end(), [this](const auto& item) { return this->holds(item); });
    const auto& chosen = result.succeeded ? on_success : on_failure;
    const auto next = this->current + 1;
    if (writes(chosen)) {
        this->current = next;
    }
    for (const auto& item : chosen) {
        result.results.push_back(this->run(item, next));
    }
    result.revision = this->current;
    this->changed.notify_all();
    return result;
}

operation_result key_value_store::run(const operation& wanted, std::int64_t revision)
{
    operation_result result;
    if (const auto* put = std::get_if<put_operation>(&wanted)) {
        this->put(*put, revision);
    } else if (const auto* erase = std::get_if<delete_operation>(&wanted)) {
        result.deleted = this->erase(erase->keys, revision);
    } else {
        const auto& keys = std::get<range_operation>(wanted).keys;
        for (auto item = this->entries.lower_bound(keys.key);
             item != this->entries.end() && keys.contains(item->first);
             ++item) {
            result.entries.push_back(item->second);
        }
    }
    return result;
}

void key_value_store::put(const put_operation& wanted, std::int64_t revision)
{
    auto& entry = this->entries[wanted.key];
    if (entry.version == 0) {
        entry.key = wanted.key;
        entry.create_revision = revision;
    }
    ++entry.version;
    entry.mod_revision = revision;
    entry.value = wanted.value;
    entry.lease = wanted.lease;
    this->log_change({.revision = revision, .deleted = false, .entry = entry});
}

std::int64_t key_value_store::erase(const key_range& keys, std::int64_t revision)
{
    std::int64_t deleted = 0;
    auto item = this->entries.lower_bound(keys.key);
    while (item != this->entries.end() && keys.contains(item->first)) {
        const stored_entry gone{
            .key = item->first, .value = {}, .create_revision = 0, .mod_revision = revision};
        this->log_change({.revision = revision, .deleted = true, .entry = gone});
        item = this->entries.erase(item);
        ++deleted;
    }
    return deleted;
}

void key_value_store::log_change(change_event change)
{
    if (this->skipped > 0) {
        --this->skipped;
        return;
    }
    this->log.push_back(std::move(change));
    if (this->log.size() > longest_log) {
        this->compacted = this->log.front().revision;
        this->log.pop_front();
    }
}

std::int64_t key_value_store::grant_lease(std::int64_t wanted_id, std::chrono::seconds ttl)
{
    const std::lock_guard lock(this->mutex);
    const auto id = wanted_id != 0 ? wanted_id : ++this->last_lease;
    this->leases[id] = {.ttl = ttl, .end = clock::now() + ttl};
    return id;
}

std::optional<std::chrono::seconds> key_value_store::keep_alive(std::int64_t id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
        return std::nullopt;
    }
    found->second.end = clock::now() + found->second.ttl;
    return found->second.ttl;
}

bool key_value_store::revoke_lease(std::int64_t id)
{
    const std::lock_guard lock(this->mutex);
    if (this->leases.erase(id) == 0) {
        return false;
    }
    this->drop_lease(id);
    return true;
}

void key_value_store::expire_leases()
{
    const std::lock_guard lock(this->mutex);
    const auto now = clock::now();
    for (auto item = this->leases.begin(); item != this->leases.end();) {
        const auto current_lease = item++;
        if (current_lease->second.end <= now) {
            const auto id = current_lease->first;
            this->leases.erase(current_lease);
            this->drop_lease(id);
        }
    }
}

void key_value_store::drop_lease(std::int64_t id)
{
    std::vector<std::string> keys;
    for (const auto& [key, entry] : this->entries) {
        if (entry.lease == id) {
            keys.push_back(key);
        }
    }
    if (keys.empty()) {
        return;
    }
    ++this->current;
    for (const auto& key : keys) {
        this->erase({.key = key, .end = {}}, this->current);
    }
    this->changed.notify_all();
}

watch_batch
key_value_store::wait_for(const key_range& keys, std::int64_t from, std::chrono::milliseconds limit)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, limit, [&] { return this->current >= from; });
    watch_batch batch{.revision = this->current, .compacted = 0, .events = {}};
    if (from <= this->compacted) {
        batch.compacted = this->compacted + 1;
        return batch;
    }
    const auto first = std::lower_bound(
        this->log.begin(), this->log.end(), from, [](const change_event& change, std::int64_t revision) {
            return change.revision < revision;
        });
    std::copy_if(first, this->log.end(), std::back_inserter(batch.events), [&keys](const auto& change) {
        return keys.contains(change.entry.key);
    });
    return batch;
}

std::int64_t key_value_store::revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->current;
}

void key_value_store::compact()
{
    const std::lock_guard lock(this->mutex);
    this->compacted = this->current;
    this->log.clear();
    this->changed.notify_all();
}

void key_value_store::skip_events(int count)
{
    const std::lock_guard lock(this->mutex);
    this->skipped = count;
}

} // namespace hibiscusfall::standins
