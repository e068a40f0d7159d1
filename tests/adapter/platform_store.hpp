#pragma once

#include "hibiscusfall/core/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hibiscusfall::testing
{

/// @brief A fake of the platform's key-value store on loopback, with fault injection.
class platform_store
{
public:
    /// What the store does with requests while the fault is set.
    enum class fault {
        none,
        unresponsive, ///< Sends no response until the fault ends.
        unavailable,  ///< Answers with 503.
        disconnect    ///< Closes the connection without a response.
    };

    platform_store();
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    [[nodiscard]] core::address address() const;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// @brief Drops the history, so that watches from an earlier revision get status 410.
    void compact();

    /// @brief Sets the maximum number of items in one page of a range read.
    void set_page_size(std::size_t items) { this->page_size = items; }
    void set_fault(fault kind) { this->active_fault = kind; }

    /// @brief Number of requests received, including those that a fault left without a response.
    [[nodiscard]] std::size_t request_count() const { return this->requests; }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        bool deleted = false;
        std::string value;
    };

    void serve(boost::asio::ip::tcp::socket socket);
    std::string handle(const std::string& target, unsigned& status);
    std::string handle_range(const std::string& prefix, const std::string& after);
    std::string handle_watch(const std::string& prefix, std::uint64_t after, int wait_ms, unsigned& status);

    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor{io};
    std::mutex mutex;
    std::map<std::string, item> items;
    std::vector<change> history;
    std::uint64_t revision = 1;
    std::uint64_t compacted_revision = 0; ///< Watches from before this revision are refused.
    std::size_t page_size = 500;
    std::atomic<fault> active_fault{fault::none};
    std::atomic<std::size_t> requests{0};
    std::atomic<bool> stopping{false};
    std::list<std::thread> threads;
    std::thread accept_thread;
};

} // namespace hibiscusfall::testing
