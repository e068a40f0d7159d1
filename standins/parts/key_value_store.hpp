#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusfall::standins
{

/// @brief One key as the store keeps it.
struct stored_entry {
    std::string key;
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
};

/// @brief All keys from the first up to, and without, the end; one key when the end is empty.
struct key_range {
    std::string key;
    std::string end; ///< One zero byte stands for no end.

    [[nodiscard]] bool contains(const std::string& candidate) const;
};

struct put_operation {
    std::string key;
    std::string value;
    std::int64_t lease = 0;
};

struct range_operation {
    key_range keys;
};

struct delete_operation {
    key_range keys;
};

using operation = std::variant<put_operation, range_operation, delete_operation>;

/// @brief What one operation did or found.
struct operation_result {
    std::vector<stored_entry> entries; ///< Of a range.
    std::int64_t deleted = 0;
};

enum class compare_target : std::uint8_t { version, create, mod, value };
enum class compare_relation : std::uint8_t { equal, greater, less, not_equal };

/// @brief One condition of a transaction.
struct comparison {
    std::string key;
    compare_target target = compare_target::version;
    compare_relation relation = compare_relation::equal;
    std::int64_t number = 0;
    std::string value;
};

struct transaction_result {
    std::int64_t revision = 0;
    bool succeeded = false;
    std::vector<operation_result> results;
};

/// @brief One change as a watch reports it.
struct change_event {
    std::int64_t revision = 0;
    bool deleted = false;
    stored_entry entry;
};

/// @brief What a watch has to send next.
struct watch_batch {
    std::int64_t revision = 0;
    std::int64_t compacted = 0; ///< Above 0 when the wanted events are no longer kept.
    std::vector<change_event> events;
};

/// @brief A small key-value store with revisions, leases and a log of changes.
class key_value_store
{
public:
    /// @brief Runs the operations that the conditions choose, under one revision.
    transaction_result transact(const std::vector<comparison>& conditions,
                                const std::vector<operation>& on_success,
                                const std::vector<operation>& on_failure);

    /// @name Leases
    std::int64_t grant_lease(std::int64_t wanted_id, std::chrono::seconds ttl);

    /// @returns The time to live; nothing when there is no such lease.
    std::optional<std::chrono::seconds> keep_alive(std::int64_t id);
    bool revoke_lease(std::int64_t id);
    void expire_leases();

    /// @name Watches
    /// @brief Waits for changes from a revision on, at most for the limit.
    watch_batch wait_for(const key_range& keys, std::int64_t from, std::chrono::milliseconds limit);
    [[nodiscard]] std::int64_t revision() const;

    /// @brief Drops all kept changes.
    void compact();

    /// @brief Leaves the next changes out of the log, so that watches miss them.
    void skip_events(int count);

private:
    using clock = std::chrono::steady_clock;

    struct lease {
        std::chrono::seconds ttl{};
        clock::time_point end;
    };

    [[nodiscard]] bool holds(const comparison& condition) const;
    operation_result run(const operation& wanted, std::int64_t revision);
    void put(const put_operation& wanted, std::int64_t revision);
    std::int64_t erase(const key_range& keys, std::int64_t revision);
    void drop_lease(std::int64_t id);
    void log_change(change_event change);

    mutable std::mutex mutex;
    std::condition_variable changed;
    std::int64_t current = 1;
    std::int64_t compacted = 0;
    int skipped = 0;
    std::map<std::string, stored_entry> entries;
    std::map<std::int64_t, lease> leases;
    std::int64_t last_lease = 1000;
    std::deque<change_event> log;
};

} // namespace hibiscusfall::standins
