#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

/// @file
/// @brief Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the cases.

namespace standin
{

using steady = std::chrono::steady_clock;
using instant = steady::time_point;
using std::chrono::milliseconds;

[[nodiscard]] double seconds_between(instant from, instant to);
void sleep_until(instant when);
void sleep_for(milliseconds length);

struct address {
    std::string host;
    std::uint16_t port = 0;
    [[nodiscard]] std::string text() const { return host + ":" + std::to_string(port); }
};

/// @brief A port that is free on all given hosts right now.
[[nodiscard]] std::uint16_t free_port(const std::string& host);

/// @brief A head with its body. Names of headers are in lower case.
struct message {
    std::string start;
    std::map<std::string, std::string> headers;
    std::string body;
    bool whole = false;     ///< Whether the body is complete as its framing states.
    std::size_t pieces = 0; ///< Chunks of the body.
    [[nodiscard]] std::string header(const std::string& name) const;
    [[nodiscard]] std::string method() const;
    [[nodiscard]] std::string target() const;
    [[nodiscard]] int status() const;
};

/// @brief One connected socket.
class connection
{
public:
    /// @param on_close Called with the descriptor before it is closed.
    explicit connection(int socket, std::function<void(int)> on_close = nullptr)
        : descriptor(socket), closes(std::move(on_close))
    {
    }
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool send(std::string_view bytes);
    /// @brief Reads a whole message; nothing if the connection ends before its head.
    std::optional<message> receive(milliseconds limit, bool is_response);
    /// @brief Reads one head only.
    std::optional<message> receive_head(milliseconds limit);
    /// @brief Reads the body that the head announces.
    void receive_body(message& to, milliseconds limit, bool is_response);
    /// @brief Reads more bytes into the buffer; false at the end, on an error or after the limit.
    bool more(milliseconds limit);
    /// @brief Whether the other side has closed or reset.
    [[nodiscard]] bool ended_by_peer() const;
    void reset(); ///< Closes with a reset.
    void close();
    [[nodiscard]] bool is_open() const { return descriptor >= 0; }
    std::string buffer;

private:
    int descriptor;
    std::function<void(int)> closes;
};

/// @brief Connects; null when refused or too late.
[[nodiscard]] std::unique_ptr<connection> connect_to(const address& to, milliseconds limit);

/// @brief Accepts connections until it is stopped, each on a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;
    listener(const address& at, handler run);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;
    void stop();  ///< No more connections are accepted; new ones are refused.
    void abort(); ///< As when the process ends: open connections end too.

private:
    struct state;
    std::shared_ptr<state> shared;
};

} // namespace standin
