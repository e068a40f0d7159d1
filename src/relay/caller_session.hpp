#pragma once

#include "endpoint_connection.hpp"

#include "hibiscusfall/relay/dialect.hpp"
#include "hibiscusfall/relay/relay_server.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace hibiscusfall::relay::detail
{

using caller_request = http::request<http::string_body>;

/// @brief Result of reading a request.
enum class request_read_result : std::uint8_t {
    complete,
    closed,
    malformed,
    head_too_large,
    body_too_large,
    timed_out,
    shutting_down, ///< The instance ends before the request is complete.
    no_room        ///< The instance has no room for the body.
};

/// @brief Connection of a caller. Reads requests one at a time and responds in order.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(relay_server& server, tcp::socket accepted);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    asio::awaitable<void> run();

    /// @brief Cancels the current operation if its deadline has passed.
    void sweep(core::instant now);

    /// @brief Closes an idle connection.
    void close_idle();

    /// @brief Whether no request is in progress or has arrived, nor is one likely to arrive because the
    /// connection was just opened or its last request just answered.
    [[nodiscard]] bool idle(core::instant now);

    /// @brief Whether the connection has waited for a request longer than one on its way would take. Does not
    /// look at the socket.
    [[nodiscard]] bool waits_for_request(core::instant now) const noexcept;

    /// @brief Since when the connection waits for a request.
    [[nodiscard]] core::instant idle_since() const noexcept { return this->waiting_since; }

    /// @brief Whether the connection is being closed.
    [[nodiscard]] bool is_closing() const noexcept { return this->closing; }

    /// @brief Refuses the request that arrives next and closes the connection, as this instance cannot keep
    /// it.
    void refuse_next_request() noexcept { this->refuses_next = true; }

    /// @brief Ends the request in progress, as the instance ends before it. One that is not complete is
    /// refused; one whose response has not started gets a final response.
    void end_request();

    /// @brief Whether the request in progress was ended by @ref end_request.
    [[nodiscard]] bool is_ended() const noexcept { return this->ended; }

    /// @name For the request in progress
    /// @brief Whether the caller has closed its connection.
    [[nodiscard]] bool is_disconnected() const noexcept { return this->disconnected; }

    /// @brief Notices when the caller disconnects while its request is in progress. Called before the request
    /// waits for anything; one that is answered at once needs no watch.
    void watch_for_disconnect();

    /// @brief Checks the socket for a disconnect that the event loop may not have seen yet.
    [[nodiscard]] bool check_disconnected();

    /// @brief Sends bytes to the caller, in order.
    /// @returns False when the caller has disconnected.
    asio::awaitable<bool> write(std::string_view head, std::string_view body);

    /// @brief Sets the endpoint connection that is closed when the caller disconnects; null for none.
    void set_connection(std::shared_ptr<endpoint_connection> link) { this->connection = std::move(link); }

    /// @brief Sets the connection of a second send, which is closed likewise; null for none.
    void set_second_connection(std::shared_ptr<endpoint_connection> link) { this->second = std::move(link); }

    /// @brief Closes the endpoint connections of the request in progress.
    void cancel_attempt() noexcept;

    /// @brief Closes the endpoint connection of the attempt, but not that of a second send.
    void cancel_first() noexcept;

    /// @brief Whether the connection accepts another request after the one in progress.
    [[nodiscard]] bool keeps_open() const noexcept { return this->keep_open; }

    /// @brief Whether responses to the request in progress have no body, as it is a HEAD request.
    [[nodiscard]] bool expects_no_body() const noexcept { return this->head_request; }

    /// @brief The body of the request in progress.
    [[nodiscard]] std::shared_ptr<const std::string> request_body() const
    {
        return {this->request, &this->request->body()};
    }

    /// @brief Closes the connection after the current response.
    void close_after_answer() noexcept { this->keep_open = false; }

    /// @brief The end of a response head, with a Connection header if the connection will be closed.
    [[nodiscard]] std::string_view connection_header() noexcept;

private:
    using request_parser = http::request_parser<http::string_body>;

    asio::awaitable<request_read_result> receive(request_parser& parser);
    asio::awaitable<void> reject_unreadable(request_read_result end);
    asio::awaitable<void> drain();
    void close_socket();
    [[nodiscard]] bool read_arrived_bytes();
    void wait_for_disconnect();
    void stop_watching();
    void send_without_delay();
    void handle_disconnect();
    [[nodiscard]] bool has_unread_bytes();

    relay_server& server;
    std::shared_ptr<session_registry> registry;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<endpoint_connection> connection;
    std::shared_ptr<endpoint_connection> second; ///< Of a second send in progress.
    std::shared_ptr<caller_request> request; ///< In progress; the connection to an endpoint may outlive it.
    buffer_share body;                       ///< What is held of the request's body.
    core::instant expires = core::instant::max();
    std::uint64_t watch = 0; ///< Number of the active disconnect watch; zero for none.
    std::uint64_t watches = 0;
    bool waiting = true;
    core::instant waiting_since = event_loop::now();
    bool receiving = false;      ///< Whether a request has arrived in part.
    bool response_begun = false; ///< Whether bytes were sent to the caller since the request was complete.
    bool ended = false;          ///< Whether the request was ended by the instance's shutdown.
    bool no_delay = false;       ///< Whether small writes are sent at once.
    bool closing = false;
    bool refuses_next = false; ///< Whether the next request is refused for want of descriptors.
    bool keep_open = true;
    bool head_request = false; ///< Of the request in progress.
    bool disconnected = false;
    bool timed_out = false;
};

} // namespace hibiscusfall::relay::detail
