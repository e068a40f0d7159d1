#pragma once

#include "hibiscusfall/core/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace hibiscusfall::testing
{

/// @brief A request that an endpoint has received whole.
struct received_request {
    std::string method;
    std::string target;
    std::string id;            ///< X-Request-Id.
    std::string last_event_id; ///< Last-Event-ID; empty when the request is no resume.
    std::string body;
    std::map<std::string, std::string> fields; ///< Every header, by its name in lower case.
};

class scripted_endpoint;

/// @brief A connection was closed without a request, as those are that only check the endpoint.
struct unused_connection : std::exception {
};

/// @brief One connection to a scripted endpoint.
class endpoint_connection
{
public:
    endpoint_connection(scripted_endpoint& given, boost::asio::ip::tcp::socket taken)
        : owner(given), socket(std::move(taken))
    {
    }

    /// @brief Reads one request; nothing at the end of the connection, or when it was a cancel order.
    /// @throws unused_connection At the end of a connection without a request, which ends its script.
    std::optional<received_request> read_request();

    /// @brief Reads about so many bytes of a request and drops them. The rest stays unread.
    void drop_bytes(std::size_t count);

    void write(std::string_view text) { this->try_write(text); }

    /// @brief Writes.
    /// @returns False once the connection is closed.
    bool try_write(std::string_view text);

    /// @brief Closes with a reset.
    void reset();

    /// @brief Waits until the router closes the connection, or the endpoint ends.
    void wait_for_close();

    void shut();

    /// @brief Ends what it sends, in order; what arrives can still be read.
    void shut_sending();

    /// @brief Ends the whole endpoint: every connection breaks, and new ones are refused.
    void crash_endpoint();

private:
    scripted_endpoint& owner;
    boost::asio::ip::tcp::socket socket;
    std::mutex closing; ///< The script and the endpoint's end may close at once.
    boost::beast::flat_buffer buffer;
    bool used = false; ///< Whether a request has begun to arrive.
};

/// @brief A TCP server that does to each connection what its script says, and records whole requests.
class scripted_endpoint
{
public:
    using script = std::function<void(endpoint_connection&)>;

    explicit scripted_endpoint(script given);
    ~scripted_endpoint();
    scripted_endpoint(const scripted_endpoint&) = delete;
    scripted_endpoint& operator=(const scripted_endpoint&) = delete;

    [[nodiscard]] core::address address() const { return this->own_address; }
    [[nodiscard]] std::vector<received_request> requests() const;
    [[nodiscard]] std::vector<std::string> cancels() const;

    /// @brief Sets whether it answers GET /status, which is not recorded; otherwise it lets the caller wait.
    void set_answers_status(bool value) { this->answers_status = value; }

private:
    friend class endpoint_connection;
    void accept_next();
    void crash();

    script behaviour;
    std::atomic<bool> answers_status{true};
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{context};
    core::address own_address;
    mutable std::mutex mutex;
    std::list<endpoint_connection> connections;
    std::vector<std::thread> threads;
    std::vector<received_request> received;
    std::vector<std::string> cancelled;
    std::thread accept_thread;
};

/// @brief A whole JSON answer.
[[nodiscard]] std::string json_answer(std::string_view body, std::string_view headers = {});

/// @brief The head of a stream.
[[nodiscard]] std::string stream_head();

/// @brief One chunk.
[[nodiscard]] std::string chunk(std::string_view text);

/// @brief One event with a number.
[[nodiscard]] std::string numbered_event(int id);

/// @brief The end mark and the last chunk.
[[nodiscard]] std::string stream_end();

/// @brief Events from..to-1, each in a chunk.
[[nodiscard]] std::string event_chunks(int from, int to);

} // namespace hibiscusfall::testing
