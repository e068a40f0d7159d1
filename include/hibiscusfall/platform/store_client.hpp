#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusfall::platform
{

/// @brief A value in the store and the store revision at which it was last written.
struct stored_value {
    std::string value;
    std::int64_t modified_at = 0; ///< 0 when the key does not exist.
};

/// @brief How a compare-and-swap ended.
enum class swap_outcome : std::uint8_t {
    applied,  ///< The value was written.
    conflict, ///< Somebody else wrote first; nothing was written.
    not_sent, ///< The store could not be reached; nothing was written.
    unknown   ///< The answer was lost; the value may have been written.
};

/// @brief A conditional write and, when it was applied, the store revision that it made.
struct swap_result {
    swap_outcome outcome = swap_outcome::not_sent;
    std::int64_t revision = 0;
};

/// @brief Names a lease in the store; 0 is none.
enum class lease_id : std::int64_t { none = 0 };

/// @brief Calls made on the store, each attempt counted.
struct store_counters {
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
    std::atomic<std::uint64_t> lease_calls = 0;
    std::atomic<std::uint64_t> watches = 0;
    std::atomic<std::uint64_t> failures = 0;
};

/// @brief Where and how to reach the store.
struct store_options {
    core::address store;
    core::duration timeout = std::chrono::seconds{2};
    std::shared_ptr<store_counters> counters; ///< Null when nobody counts.
};

/// @brief Calls the platform's key-value service by its published JSON gateway.
/// @remarks Each call opens one connection and blocks for at most the timeout; never call it on the
/// control thread.
class store_client
{
public:
    explicit store_client(const store_options& given) : options(given) {}

    /// @name Keys
    /// @brief Reads a key.
    /// @param reason Receives why there is no answer.
    [[nodiscard]] std::optional<stored_value> read(std::string_view key, std::string& reason) const;

    /// @brief Writes a key if it was last modified at @p expected (0: if it does not exist).
    [[nodiscard]] swap_outcome compare_and_swap(std::string_view key,
                                                std::int64_t expected,
                                                std::string_view value,
                                                std::string& reason) const;

    /// @brief As compare_and_swap; the key goes when the lease ends.
    [[nodiscard]] swap_result write_under_lease(std::string_view key,
                                                std::int64_t expected,
                                                std::string_view value,
                                                lease_id lease,
                                                std::string& reason) const;

    /// @name Leases
    [[nodiscard]] lease_id grant_lease(std::chrono::seconds length, std::string& reason) const;

    /// @returns Whether the store still holds the lease; nothing when it gave no answer.
    [[nodiscard]] std::optional<bool> renew_lease(lease_id lease, std::string& reason) const;
    void revoke_lease(lease_id lease) const;

    /// @name Watches
    /// @brief What a watch reports, on the calling thread.
    struct watch_events {
        std::function<void(std::function<void()> end)> started; ///< @p end may be called on any thread
                                                                ///< until the watch has returned.
        std::function<void()> established;
        std::function<void(const stored_value&)> changed;
        std::function<bool()> cancelled; ///< Asked at each piece that arrives.
    };

    /// @brief Waits for changes of a key. Blocks until it is cancelled here or by the store (after a
    /// compaction), the connection ends, or nothing arrived for @p silence; the caller then starts anew and
    /// reads the key.
    void watch(std::string_view key, core::duration silence, const watch_events& events) const;

private:
    store_options options;
};

} // namespace hibiscusfall::platform
