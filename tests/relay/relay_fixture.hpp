#pragma once

#include "../traffic/scripted_endpoint.hpp"

#include "hibiscusfall/relay/relay_server.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace hibiscusfall::testing
{

/// @brief A caller's connection, byte by byte.
class raw_caller
{
public:
    explicit raw_caller(std::uint16_t port);

    void send(std::string_view bytes);

    /// @brief Reads until a text was seen, the connection ended, or the time is over.
    std::string read_until(std::string_view text, std::chrono::milliseconds limit = std::chrono::seconds{5});

    /// @brief Reads until the connection ends or the time is over.
    std::string read_all(std::chrono::milliseconds limit = std::chrono::seconds{5});

    void close();

private:
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket{io};
};

/// @brief An entry on its own thread in front of scripted endpoints. Its dialect has plain header names.
class relay_fixture
{
public:
    explicit relay_fixture(std::vector<scripted_endpoint::script> scripts, catalog::route route = {});
    ~relay_fixture();
    relay_fixture(const relay_fixture&) = delete;
    relay_fixture& operator=(const relay_fixture&) = delete;

    [[nodiscard]] std::uint16_t port() const { return this->callers; }
    [[nodiscard]] scripted_endpoint& endpoint(std::size_t number) { return *this->endpoints[number]; }

    /// @brief Requests that all endpoints have received.
    [[nodiscard]] std::vector<received_request> received() const;

    /// @brief Runs a function on the loop and waits for it.
    void on_loop(const std::function<void(relay::relay_server&)>& task);

    /// @brief Sends one request on a connection of its own and reads the answer until it closes.
    [[nodiscard]] std::string ask(std::string_view request);

private:
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    std::uint16_t callers = 0;
    relay::event_loop loop;
    std::unique_ptr<relay::relay_server> entry;
    std::thread thread;
};

/// @brief A route on which requests of the given kind go to the endpoints.
[[nodiscard]] catalog::route
route_of(catalog::route_kind kind, std::uint32_t max_attempts = 1, bool resumable = false);

/// @brief A request in the fixture's dialect that closes its connection.
[[nodiscard]] std::string
request_bytes(std::string_view id, std::string_view more_headers = {}, std::string_view body = "x");

/// @brief A signed answer of an endpoint.
[[nodiscard]] std::string signed_answer(std::string_view id, std::string_view body, int status = 200);

/// @brief The head of a signed stream.
[[nodiscard]] std::string signed_stream_head(std::string_view id);

/// @brief A refusal by an endpoint that states that the request was not run.
[[nodiscard]] std::string not_run_answer(std::string_view id);

} // namespace hibiscusfall::testing
