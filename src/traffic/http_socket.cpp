#include "http_socket.hpp"

#include <boost/asio/post.hpp>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace hibiscusfall::traffic::detail
{

namespace
{

/// Binds to a local IP number and leaves the choice of the port to the connect call.
beast::error_code bind_to(asio::ip::tcp::socket& socket, const std::string& from)
{
    beast::error_code result;
    const auto host = asio::ip::make_address(from, result);
    if (!result) {
        socket.open(asio::ip::tcp::v4(), result);
    }
    if (!result) {
        const int late_port = 1;
        ::setsockopt(
            socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &late_port, sizeof late_port);
        socket.bind({host, 0}, result);
    }
    return result;
}

} // namespace

beast::error_code
http_socket::connect(const core::address& to, core::duration timeout, const std::string& from)
{
    beast::error_code result;
    const auto host = asio::ip::make_address(to.host, result);
    if (result) {
        return result;
    }
    if (!from.empty()) {
        result = bind_to(this->tcp.socket(), from);
        if (result) {
            return result;
        }
    }
    this->tcp.expires_after(timeout);
    this->tcp.async_connect(asio::ip::tcp::endpoint{host, to.port},
                            [&result](beast::error_code error) { result = error; });
    this->io.restart();
    this->io.run();
    if (!result) {
        this->tcp.socket().set_option(asio::ip::tcp::no_delay(true), result);
    }
    return result;
}

namespace
{

/// The poll events of one descriptor, now.
short poll_now(int descriptor, short events)
{
    pollfd entry{.fd = descriptor, .events = events, .revents = 0};
    return ::poll(&entry, 1, 0) > 0 ? entry.revents : short{0};
}

constexpr short closed_events = POLLRDHUP | POLLHUP | POLLERR | POLLNVAL;

} // namespace

beast::error_code http_socket::receive_bytes(core::instant end)
{
    constexpr std::size_t step_bytes = 8192;
    const auto space = this->buffer.prepare(step_bytes);
    while (true) {
        const auto got = ::recv(this->descriptor(), space.data(), space.size(), MSG_DONTWAIT);
        if (got > 0) {
            this->buffer.commit(static_cast<std::size_t>(got));
            return {};
        }
        if (got == 0) {
            return http::error::end_of_stream;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return {errno, boost::system::system_category()};
        }
        const std::array source{this->descriptor()};
        const auto left = core::elapsed(std::chrono::steady_clock::now(), end);
        if (left <= core::duration::zero() || wait_for_bytes(source, -1, left) == wait_result::timed_out) {
            return beast::error::timeout;
        }
    }
}

bool http_socket::peer_closed()
{
    return (poll_now(this->descriptor(), POLLRDHUP) & closed_events) != 0;
}

bool http_socket::clean_and_open()
{
    return this->tcp.socket().is_open() && !this->holds_bytes() &&
           poll_now(this->descriptor(), POLLIN | POLLRDHUP) == 0;
}

void http_socket::close()
{
    beast::error_code ignored;
    this->tcp.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->tcp.socket().close(ignored);
}

void http_socket::cancel_from_outside()
{
    asio::post(this->io, [this] { this->tcp.cancel(); });
}

void http_socket::close_gently(core::duration limit)
{
    beast::error_code error;
    this->tcp.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    const auto end = std::chrono::steady_clock::now() + limit;
    std::array<char, 4096> dropped{};
    while (!error && std::chrono::steady_clock::now() < end) {
        const auto left = core::elapsed(std::chrono::steady_clock::now(), end);
        const std::array source{this->descriptor()};
        if (wait_for_bytes(source, -1, left) != wait_result::readable ||
            ::recv(this->descriptor(), dropped.data(), dropped.size(), MSG_DONTWAIT) <= 0) {
            break;
        }
    }
    this->close();
}

wait_result wait_for_bytes(std::span<const int> sources, int caller, core::duration timeout)
{
    constexpr std::size_t most = 3;
    std::array<pollfd, most> entries{};
    nfds_t count = 0;
    for (const int source : sources.first(std::min(sources.size(), most - 1))) {
        entries[count++] = {.fd = source, .events = POLLIN, .revents = 0};
    }
    const auto others = count;
    if (caller >= 0) {
        entries[count++] = {.fd = caller, .events = POLLRDHUP, .revents = 0};
    }
    const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
    const int wait = static_cast<int>(std::clamp<std::int64_t>(milliseconds, 0, 3600000));
    if (::poll(entries.data(), count, wait) <= 0) {
        return wait_result::timed_out;
    }
    if (count > others && (entries[others].revents & closed_events) != 0) {
        return wait_result::caller_gone;
    }
    return wait_result::readable;
}

} // namespace hibiscusfall::traffic::detail
