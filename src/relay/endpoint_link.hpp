#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/kept_parts.hpp"
#include "hibiscusfall/relay/event_loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusfall::relay::detail
{

using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// @brief One connection to an endpoint. It carries one request at a time.
struct endpoint_link : std::enable_shared_from_this<endpoint_link> {
    explicit endpoint_link(asio::io_context& io) : socket(io) {}

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    dispatch::endpoint_tag endpoint = 0;
    core::instant expires = core::instant::max(); ///< The sweep cancels what is under way after this.
    bool timed_out = false;
    core::instant idle_since{};
    core::duration idle_limit{};
    bool reused = false;
    bool broken = false; ///< Whether it must not carry another request.
    std::string request; ///< What is being sent; lives as long as the write.
    std::size_t sent_bytes = 0;
    bool sent_all = false;
    bool send_failed = false;

    void close() noexcept;

    /// @brief Takes over after what idle time the endpoint says that it closes the connection.
    void note_idle_timeout(core::duration stated) noexcept;
};

/// @brief Keeps idle connections to endpoints for use again, and ends those that are overdue.
class link_pool
{
public:
    explicit link_pool(event_loop& loop_in_use) : loop(loop_in_use) {}

    /// @brief An idle connection that the endpoint has not closed; null for none.
    /// @param fresh Only one that was used a moment ago, for requests that must not meet a closing one.
    [[nodiscard]] std::shared_ptr<endpoint_link> take_idle(dispatch::endpoint_tag endpoint, bool fresh);

    /// @brief A new connection, not connected yet.
    [[nodiscard]] std::shared_ptr<endpoint_link> make(dispatch::endpoint_tag endpoint);

    /// @brief Takes a connection back after an answer, or closes it when it cannot be used again.
    void give_back(const std::shared_ptr<endpoint_link>& link);

    /// @brief Closes idle connections that are overdue, and cancels what is overdue on the others.
    void sweep(core::instant now);

    /// @brief Closes the idle connections to endpoints that are not in use any more.
    void drop_idle(dispatch::endpoint_tag endpoint);

    [[nodiscard]] std::size_t open_count() const noexcept { return this->links.size(); }
    [[nodiscard]] std::uint64_t connects() const noexcept { return this->made; }

private:
    event_loop& loop;
    std::map<dispatch::endpoint_tag, std::vector<std::shared_ptr<endpoint_link>>> idle;
    std::vector<std::weak_ptr<endpoint_link>> links;
    std::uint64_t made = 0;
};

/// @brief Connects within a time.
/// @returns Whether the connection stands.
asio::awaitable<bool> connect(std::shared_ptr<endpoint_link> link, core::address to, core::duration limit);

} // namespace hibiscusfall::relay::detail
