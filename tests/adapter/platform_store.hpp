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

/// @brief A stand-in of the platform's store on loopback, with the trouble that it may be in.
class platform_store
{
public:
    enum class trouble { none, silent, busy, reset };

    platform_store();
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    [[nodiscard]] core::address address() const;

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// @brief Drops the history, so that watches from before are refused.
    void compact();

    /// @brief Items in one page of a range.
    void set_page(std::size_t items) { this->page = items; }
    void set_trouble(trouble kind) { this->in_trouble = kind; }

    [[nodiscard]] std::size_t calls() const { return this->served; }

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
    std::string answer(const std::string& target, unsigned& status);
    std::string range(const std::string& prefix, const std::string& after);
    std::string watch(const std::string& prefix, std::uint64_t after, int wait_ms, unsigned& status);

    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor{io};
    std::mutex mutex;
    std::map<std::string, item> items;
    std::vector<change> history;
    std::uint64_t revision = 1;
    std::uint64_t oldest = 0;
    std::size_t page = 500;
    std::atomic<trouble> in_trouble{trouble::none};
    std::atomic<std::size_t> served{0};
    std::atomic<bool> stopping{false};
    std::list<std::thread> threads;
    std::thread accept_thread;
};

} // namespace hibiscusfall::testing
