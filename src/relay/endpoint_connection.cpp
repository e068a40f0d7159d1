#include "endpoint_connection.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace hibiscusfall::relay::detail
{

namespace
{

/// Idle time after which a connection is not reused if the endpoint announces no timeout.
constexpr core::duration default_idle_limit = std::chrono::seconds{4};
/// Part of the endpoint's announced idle timeout that is used, since the endpoint starts its timer earlier.
constexpr int idle_timeout_percent = 60;
/// Idle time within which a close by the endpoint is unlikely to race with a request.
constexpr core::duration fresh_limit = std::chrono::milliseconds{700};
constexpr std::size_t kept_buffer_bytes = 4096;
/// TCP_USER_TIMEOUT: time without acknowledgement after which the connection is considered lost. Longer than
/// the longest pause of a stream.
constexpr unsigned user_timeout_ms = 2500;

/// Time after a deadline within which bytes that have arrived are read first. A late loop finds the deadline
/// and the bytes at once.
constexpr core::duration unread_grace = std::chrono::milliseconds{100};

void expire(endpoint_connection& link, core::instant now)
{
    if (link.extend) {
        if (now < link.expires + unread_grace && has_unread_bytes(link)) {
            return;
        }
        link.expires = link.extend(now);
    }
    if (link.expires <= now) {
        link.timed_out = true;
        error_code ignored;
        link.socket.cancel(ignored);
    }
}

} // namespace

void endpoint_connection::close() noexcept
{
    this->broken = true;
    error_code ignored;
    this->socket.close(ignored);
}

void endpoint_connection::set_idle_timeout(core::duration stated) noexcept
{
    this->idle_limit = stated * idle_timeout_percent / 100;
}

std::shared_ptr<endpoint_connection> connection_pool::take_idle(dispatch::endpoint_tag endpoint, bool fresh)
{
    const auto found = this->idle.find(endpoint);
    if (found == this->idle.end()) {
        return nullptr;
    }
    auto& waiting = found->second;
    const auto now = event_loop::now();
    while (!waiting.empty()) {
        if (fresh && waiting.back()->idle_since + fresh_limit < now) {
            return nullptr;
        }
        auto link = std::move(waiting.back());
        waiting.pop_back();
        if (link->idle_since + link->idle_limit > now && is_open_and_quiet(*link)) {
            link->reused = true;
            return link;
        }
        link->close();
    }
    return nullptr;
}

std::shared_ptr<endpoint_connection> connection_pool::make(dispatch::endpoint_tag endpoint)
{
    auto link = std::make_shared<endpoint_connection>(this->loop.context());
    link->endpoint = endpoint;
    link->received = {this->budget, buffer_use::response};
    link->idle_limit = default_idle_limit;
    this->connections.push_back(link);
    ++this->created;
    return link;
}

void connection_pool::release(const std::shared_ptr<endpoint_connection>& link)
{
    link->received.release();
    if (link->broken || !link->socket.is_open() || !link->sent_all || link->buffer.size() > 0) {
        link->close();
        return;
    }
    link->expires = core::instant::max();
    link->idle_since = event_loop::now();
    link->request = {};
    link->request_body.reset();
    if (link->buffer.capacity() > kept_buffer_bytes) {
        link->buffer = {};
    }
    this->idle[link->endpoint].push_back(link);
}

void connection_pool::sweep(core::instant now)
{
    for (auto& [endpoint, waiting] : this->idle) {
        std::erase_if(waiting, [now](const auto& link) {
            const bool overdue = link->idle_since + link->idle_limit <= now;
            if (overdue) {
                link->close();
            }
            return overdue;
        });
    }
    std::vector<std::shared_ptr<endpoint_connection>> expired;
    std::erase_if(this->connections, [&](const auto& each) {
        auto link = each.lock();
        if (link && link->expires <= now && !link->timed_out) {
            expired.push_back(std::move(link));
            return false;
        }
        return !link;
    });
    for (const auto& link : expired) {
        expire(*link, now);
    }
}

void connection_pool::close_idle(dispatch::endpoint_tag endpoint)
{
    const auto found = this->idle.find(endpoint);
    if (found != this->idle.end()) {
        for (const auto& link : found->second) {
            link->close();
        }
        this->idle.erase(found);
    }
}

bool is_open_and_quiet(endpoint_connection& connection) noexcept
{
    char byte = 0;
    const auto got = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool has_unread_bytes(tcp::socket& socket) noexcept
{
    char byte = 0;
    return socket.is_open() && ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool has_unread_bytes(endpoint_connection& connection) noexcept
{
    if (!connection.socket.is_open()) {
        return false;
    }
    char byte = 0;
    const auto got = ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    connection.failed = connection.failed || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    return got > 0;
}

bool is_unreachable(const error_code& error) noexcept
{
    return error == asio::error::connection_refused || error == asio::error::timed_out ||
           error == asio::error::host_unreachable || error == asio::error::network_unreachable;
}

asio::awaitable<error_code>
connect(std::shared_ptr<endpoint_connection> link, core::address to, core::duration limit)
{
    error_code error;
    const auto ip = asio::ip::make_address_v4(to.host, error);
    if (error) {
        co_return error;
    }
    link->expires = event_loop::now() + limit;
    link->timed_out = false;
    co_await link->socket.async_connect(tcp::endpoint{ip, to.port},
                                        asio::redirect_error(asio::use_awaitable, error));
    if (link->timed_out) {
        error = asio::error::timed_out;
    } else if (!error && link->broken) {
        error = asio::error::operation_aborted;
    }
    if (error) {
        link->close();
        co_return error;
    }
    error_code ignored;
    link->socket.set_option(tcp::no_delay{true}, ignored);
    const int descriptor = link->socket.native_handle();
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms, sizeof user_timeout_ms);
    link->expires = core::instant::max();
    co_return error_code{};
}

} // namespace hibiscusfall::relay::detail
