#pragma once

#include "standins/parts/link_rules.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hibiscusfall::standins
{

/// @brief One address that the proxy listens on, and what stands behind it.
struct link_listener {
    std::string name;   ///< The place behind it, as rules name it.
    std::string source; ///< Who connects; empty to tell by the source address.
    bool datagrams = false;
    boost::asio::ip::address listen;
    std::uint16_t listen_port = 0;
    boost::asio::ip::address target;
    std::uint16_t target_port = 0;
};

/// @brief What a proxy passed on and kept back.
struct link_counters {
    std::uint64_t datagrams = 0;
    std::uint64_t datagram_bytes = 0;
    std::uint64_t dropped = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t connections = 0;
    std::uint64_t closed_midway = 0;
};

/// @brief Passes TCP and UDP on, with the faults that the rules name. All of it runs on one thread.
struct link_proxy {
    boost::asio::io_context context{1};
    link_rules rules;
    std::map<std::string, std::string> places; ///< Names by source address.
    link_counters counters;
    std::mt19937_64 random;
    std::multimap<std::string, std::function<void(bool)>>
        listeners; ///< Set whether the place's links accept.

    [[nodiscard]] std::string place_of(const boost::asio::ip::address& host) const
    {
        const auto found = this->places.find(host.to_string());
        return found == this->places.end() ? host.to_string() : found->second;
    }

    /// @brief Whether an event of this probability happens now.
    [[nodiscard]] bool happens(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<double>{0, 1}(this->random) < probability;
    }
};

/// @brief Listens for datagrams and passes them on. Throws boost::system::system_error.
void start_datagram_link(link_proxy& proxy, const link_listener& listener);

/// @brief Listens for connections and passes their bytes on. Throws boost::system::system_error.
void start_stream_link(link_proxy& proxy, const link_listener& listener);

/// @brief Ends the connections to a place and refuses new ones as if its process had ended, or accepts again.
void set_accepting(link_proxy& proxy, const std::string& place, bool accepts);

} // namespace hibiscusfall::standins
