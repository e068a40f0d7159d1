#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace hibiscusfall::traffic::detail
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// @brief A TCP connection that is read and written by one thread, each step with a timeout.
class http_socket
{
public:
    /// @name Opening
    /// @brief Connects to an address.
    /// @param from The local IP number to connect from; empty for any.
    [[nodiscard]] beast::error_code
    connect(const core::address& to, core::duration timeout, const std::string& from = {});

    /// @brief The stream, for an acceptor to fill.
    [[nodiscard]] beast::tcp_stream& stream() noexcept { return this->tcp; }
    [[nodiscard]] asio::io_context& context() noexcept { return this->io; }

    /// @name Reading and writing
    /// @brief Reads a whole message into a parser.
    template <class parser>
    [[nodiscard]] beast::error_code read(parser& target, core::duration timeout)
    {
        return this->run(
            timeout, [&](auto done) { http::async_read(this->tcp, this->buffer, target, std::move(done)); });
    }

    /// @brief Reads a message up to the end of its head, or of its body. A timeout leaves the connection
    /// open, so that it can be answered.
    template <class parser>
    [[nodiscard]] beast::error_code receive(parser& target, bool head_only, core::duration timeout)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!(head_only ? target.is_header_done() : target.is_done())) {
            beast::error_code error;
            if (this->parse_held(target, error)) {
                if (error) {
                    return error;
                }
                continue;
            }
            if ((error = this->receive_bytes(end))) {
                const bool cut = error == http::error::end_of_stream && target.got_some();
                return cut ? beast::error_code{http::error::partial_message} : error;
            }
        }
        return {};
    }

    /// @brief Parses from the bytes that were received and not parsed yet.
    /// @returns Whether any were parsed; if not, more have to be received.
    template <class parser>
    [[nodiscard]] bool parse_held(parser& target, beast::error_code& error)
    {
        if (this->buffer.size() == 0) {
            return false;
        }
        this->buffer.consume(target.put(this->buffer.data(), error));
        if (error == http::error::need_more) {
            error = {};
            return false;
        }
        return true;
    }

    /// @brief Receives more bytes, or waits for them until an instant.
    /// @returns The error timeout when none came; the connection stays open.
    [[nodiscard]] beast::error_code receive_bytes(core::instant end);

    /// @brief Writes a message.
    /// @param written Receives how many bytes were handed to the connection, also on an error.
    template <class message>
    [[nodiscard]] beast::error_code write(message& value, core::duration timeout, std::size_t& written)
    {
        written = 0;
        return this->run(
            timeout, [&](auto done) { http::async_write(this->tcp, value, std::move(done)); }, &written);
    }

    /// @brief Writes the head of a message whose body follows piece by piece.
    template <class serializer>
    [[nodiscard]] beast::error_code write_header(serializer& value, core::duration timeout)
    {
        return this->run(timeout,
                         [&](auto done) { http::async_write_header(this->tcp, value, std::move(done)); });
    }

    /// @brief Writes raw buffers, a chunk for example.
    template <class buffers>
    [[nodiscard]] beast::error_code write_raw(const buffers& value, core::duration timeout)
    {
        return this->run(timeout, [&](auto done) { asio::async_write(this->tcp, value, std::move(done)); });
    }

    /// @name State
    /// @brief Whether the other side has closed its connection, or it broke.
    [[nodiscard]] bool peer_closed();

    /// @brief Whether bytes were received that no message has taken yet.
    [[nodiscard]] bool holds_bytes() const noexcept { return this->buffer.size() > 0; }

    /// @brief Whether nothing was received since the last message, and the connection is open.
    [[nodiscard]] bool clean_and_open();

    [[nodiscard]] int descriptor() { return this->tcp.socket().native_handle(); }

    /// @name Closing
    void close();

    /// @brief Ends what the owning thread is writing; may be called from another thread.
    void cancel_from_outside();

    /// @brief Ends the sending side, then takes what the other side still sends for a short while, so that
    /// a last answer is not lost to a reset.
    void close_gently(core::duration limit);

private:
    template <class operation>
    beast::error_code run(core::duration timeout, operation start, std::size_t* transferred = nullptr)
    {
        beast::error_code result;
        this->tcp.expires_after(timeout);
        start([&result, transferred](beast::error_code error, std::size_t bytes) {
            result = error;
            if (transferred != nullptr) {
                *transferred = bytes;
            }
        });
        this->io.restart();
        this->io.run();
        return result;
    }

    asio::io_context io{1};
    beast::tcp_stream tcp{this->io};
    beast::flat_buffer buffer;
};

/// @brief What a wait on connections ended with.
enum class wait_result : std::uint8_t { readable, caller_gone, timed_out };

/// @brief Waits until one of the connections has something to read or has failed, or the caller is gone.
/// @param caller The caller's descriptor; negative when it is not watched.
[[nodiscard]] wait_result wait_for_bytes(std::span<const int> sources, int caller, core::duration timeout);

} // namespace hibiscusfall::traffic::detail
