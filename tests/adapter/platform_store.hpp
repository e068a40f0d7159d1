#pragma once

#include "hibiscusfall/core/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace hibiscusfall::testing
{

/// @brief A fake of the platform's key-value store on loopback, with fault injection.
class platform_store
{
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0; ///< Revision of its creation.
        std::uint64_t lease = 0;   ///< Zero for none.
    };

public:
    /// @brief What the store held at a moment.
    struct copy {
        std::map<std::string, item> items;
        std::map<std::uint64_t, std::chrono::steady_clock::time_point> leases;
        std::uint64_t revision = 0;
    };

    /// What the store does with requests while the fault is set.
    enum class fault {
        none,
        unresponsive, ///< Sends no response until the fault ends.
        unavailable,  ///< Answers with 503.
        disconnect,   ///< Closes the connection without a response.
        history_gone, ///< Answers every watch with 410, and serves the rest.
        repeated_page ///< Returns the first page of a range for each call.
    };

    /// How connections end that callers keep.
    enum class connection_end {
        closed,       ///< At once.
        at_a_request, ///< As the next request arrives, without a response.
        silent        ///< They stay open and get no response.
    };

    platform_store();
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    [[nodiscard]] core::address address() const;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// @brief Value of a key; nothing if the store has none.
    [[nodiscard]] std::optional<std::string> value(const std::string& key);

    /// @brief Keys that begin with @p prefix.
    [[nodiscard]] std::vector<std::string> keys(const std::string& prefix);

    /// @brief Ends all leases, which removes their keys.
    void expire_leases();

    /// @brief Sets whether leases last until @c expire_leases, however slow the test runs.
    void set_leases_paused(bool value) { this->leases_paused = value; }

    /// @brief Ends the lease of a key, which removes all keys under it.
    void expire_lease_of(const std::string& key);

    /// @brief Sets the longest lease that is granted.
    void set_max_lease(std::chrono::milliseconds most) { this->max_lease_ms = most.count(); }

    /// @brief Number of leases granted.
    [[nodiscard]] std::size_t lease_count() const { return this->granted_leases; }

    /// @brief Sets what is called before each conditional change is carried out, on the connection's thread.
    void set_before_change(std::function<void()> call);

    /// @brief Sets whether changes get no response, nor does anything else on their connections. They wait
    /// for
    /// @c carry_out_lost_changes.
    void set_changes_lost(bool value) { this->changes_lost = value; }

    /// @brief Number of changes without a response that have not been carried out.
    [[nodiscard]] std::size_t lost_change_count();

    /// @brief Carries out the changes without a response, the oldest first, as far as their conditions hold.
    void carry_out_lost_changes();

    /// @brief Sets what is called before the reading of a key is answered, on the connection's thread.
    void set_before_read(std::function<void(const std::string& key)> call);

    /// @brief Drops the history, so that watches from an earlier revision get status 410.
    void compact();

    /// @brief A copy of the keys and the revision, for @c restore.
    [[nodiscard]] copy snapshot();

    /// @brief Replaces keys and revision with those of an earlier copy and starts a new era without history.
    /// @remarks A watch from a revision that the copy lacks gets status 410 until new writes have passed it.
    void restore(const copy& earlier);

    /// @brief Restores the copy as soon as the next page that others follow has been read.
    void restore_after_next_page(copy earlier);

    /// @brief Sends @p text as the era in place of its number; without a value the header is not sent.
    void set_era_header(std::optional<std::string> text);

    /// @brief Sends the number of the era again.
    void reset_era_header();

    [[nodiscard]] std::uint64_t current_era();

    /// @brief Sets the maximum number of items in one page of a range read.
    void set_page_size(std::size_t items) { this->page_size = items; }
    void set_fault(fault kind) { this->active_fault = kind; }

    /// @brief Ends all present connections; new ones are served.
    void end_connections(connection_end how);

    /// @brief Number of requests received, including those that a fault left without a response.
    [[nodiscard]] std::size_t request_count() const { return this->requests; }

private:
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        bool deleted = false;
        std::string value;
    };

    /// A response, with the era in which it was made.
    struct answer {
        unsigned status = 200;
        std::string body;
        std::optional<std::string> era;
    };

    void serve(boost::asio::ip::tcp::socket socket);
    void drop_all(boost::asio::ip::tcp::socket& socket) const;
    answer handle(const std::string& method, const std::string& target, const std::string& body);
    answer handle_key(const std::string& key);
    answer handle_change(const std::string& body);
    answer handle_lease(const std::string& body);
    answer handle_renewal(const std::string& id);
    answer handle_range(const std::string& prefix, const std::string& after);
    answer handle_watch(const std::string& prefix, std::uint64_t after, int wait_ms);
    /// @name The caller holds the mutex.
    void replace_with(const copy& earlier);
    void set_item(const std::string& key, std::string value, std::uint64_t lease);
    void remove_item(const std::string& key);
    void remove_leased(std::uint64_t lease);
    void end_leases();
    [[nodiscard]] std::uint64_t revision_of(const std::string& key) const;
    [[nodiscard]] nlohmann::json describe(const std::string& key) const;
    [[nodiscard]] answer make_answer(unsigned status, std::string body) const;

    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor{io};
    std::mutex mutex;
    std::map<std::string, item> items;
    std::vector<change> history;
    std::map<std::uint64_t, std::chrono::steady_clock::time_point> leases; ///< When each ends.
    std::map<std::uint64_t, std::chrono::milliseconds> lease_times;        ///< From a renewal to the end.
    std::uint64_t next_lease = 77120;
    std::function<void()> before_change;
    std::function<void(const std::string& key)> before_read;
    std::vector<std::string> lost_changes; ///< Their bodies.
    std::uint64_t revision = 1;
    std::uint64_t compacted_revision = 0; ///< Watches from before this revision are refused.
    std::uint64_t era = 1;                ///< Rises with each restoration.
    std::optional<copy> restored_after_page;
    bool custom_era_header = false;
    std::optional<std::string> era_header; ///< Sent when @c custom_era_header is set.
    std::size_t page_size = 500;
    std::atomic<fault> active_fault{fault::none};
    std::atomic<connection_end> end_of_connections{connection_end::closed};
    std::atomic<int> connection_generation{0}; ///< Connections of an earlier one have ended.
    std::atomic<std::size_t> requests{0};
    std::atomic<std::size_t> granted_leases{0};
    std::atomic<bool> leases_paused{false};
    std::atomic<bool> changes_lost{false};
    std::atomic<std::int64_t> max_lease_ms{600000};
    std::atomic<bool> stopping{false};
    std::list<std::thread> threads;
    std::thread accept_thread;
};

} // namespace hibiscusfall::testing
