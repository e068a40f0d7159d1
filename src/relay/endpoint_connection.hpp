#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/prefix_cache.hpp"
#include "hibiscusfall/relay/buffer_budget.hpp"
#include "hibiscusfall/relay/event_loop.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusfall::relay::detail
{

using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// @brief Connection to an endpoint. Carries one request at a time.
struct endpoint_connection : std::enable_shared_from_this<endpoint_connection> {
    explicit endpoint_connection(asio::io_context& io) : socket(io) {}

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    dispatch::endpoint_tag endpoint = 0;
    core::instant expires = core::instant::max(); ///< Deadline after which the sweep cancels the operation.
    /// Called when the deadline has passed. Returns a later one, or any other time to cancel the operation.
    std::function<core::instant(core::instant now)> extend{};
    bool timed_out = false;
    core::instant idle_since{};
    core::duration idle_limit{};
    bool reused = false;
    bool broken = false;               ///< Whether the connection must not be reused.
    bool carried_head_request = false; ///< Whether a response may have no body whatever its headers say.
    std::string request;               ///< Head of the request being sent; must outlive the write.
    std::shared_ptr<const std::string> request_body; ///< As @c request; null for none.
    buffer_share received;                           ///< What is held of the response.
    std::size_t sent_bytes = 0;
    bool sent_all = false;
    bool send_failed = false;
    /// Whether anything but a read has reported an error of the socket. A reset is reported once: a later
    /// read then finds the end of the connection as if it were an orderly one.
    bool failed = false;

    void close() noexcept;

    /// @brief Sets the idle limit from the idle timeout that the endpoint announces.
    void set_idle_timeout(core::duration stated) noexcept;
};

/// @brief Pool of connections to endpoints. Reuses idle connections and enforces deadlines.
class connection_pool
{
public:
    connection_pool(event_loop& loop_in_use, std::shared_ptr<buffer_budget> shared_budget)
        : loop(loop_in_use), budget(std::move(shared_budget))
    {
    }

    /// @brief Takes an idle connection that the endpoint has not closed; null if there is none.
    /// @param fresh Accepts only a recently used connection, for requests that must not race with a close by
    /// the endpoint.
    [[nodiscard]] std::shared_ptr<endpoint_connection> take_idle(dispatch::endpoint_tag endpoint, bool fresh);

    /// @brief Creates a connection that is not connected yet.
    [[nodiscard]] std::shared_ptr<endpoint_connection> make(dispatch::endpoint_tag endpoint);

    /// @brief Returns a connection to the pool after a response, or closes it if it cannot be reused.
    void release(const std::shared_ptr<endpoint_connection>& connection);

    /// @brief Closes idle connections past their idle limit, and cancels operations past their deadline.
    void sweep(core::instant now);

    /// @brief Closes the idle connections to an endpoint.
    void close_idle(dispatch::endpoint_tag endpoint);

    [[nodiscard]] std::size_t open_count() const noexcept { return this->connections.size(); }
    [[nodiscard]] std::uint64_t created_count() const noexcept { return this->created; }

private:
    event_loop& loop;
    std::shared_ptr<buffer_budget> budget;
    std::map<dispatch::endpoint_tag, std::vector<std::shared_ptr<endpoint_connection>>> idle;
    std::vector<std::weak_ptr<endpoint_connection>> connections;
    std::uint64_t created = 0;
};

/// @brief Whether the endpoint has neither closed the connection nor sent bytes since the last response.
[[nodiscard]] bool is_open_and_quiet(endpoint_connection& connection) noexcept;

/// @brief Whether bytes have arrived that were not read yet.
[[nodiscard]] bool has_unread_bytes(tcp::socket& socket) noexcept;

/// @brief As above; records an error that is found in place of bytes.
[[nodiscard]] bool has_unread_bytes(endpoint_connection& connection) noexcept;

/// @brief Whether the error of a connect shows that the endpoint cannot be reached, rather than a lack of
/// resources here.
[[nodiscard]] bool is_unreachable(const error_code& error) noexcept;

/// @brief Connects within a time limit.
/// @returns No error if the connection was established.
asio::awaitable<error_code>
connect(std::shared_ptr<endpoint_connection> connection, core::address to, core::duration limit);

} // namespace hibiscusfall::relay::detail
