#include "caller_session.hpp"

#include "refusal.hpp"
#include "request_handler.hpp"

#include <algorithm>
#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

namespace hibiscusfall::relay::detail
{

namespace
{

constexpr std::size_t read_bytes = 8192;
/// Bytes dropped in one read: a refused caller may be sending a body of some MiB.
constexpr std::size_t dropped_bytes = 4096;
/// Unparsed bytes beyond the head limit after which a request is malformed. Bounds chunk extensions and
/// trailers, which have no limit in the parser.
constexpr std::size_t max_unparsed_bytes = 16384;
/// Time in which a caller sends its request after connecting: some round trips on a busy instance. A close
/// within this time could race with the request.
constexpr core::duration request_arrival_time = std::chrono::milliseconds{400};
constexpr core::duration drain_timeout = std::chrono::milliseconds{500};
/// A caller that reads nothing of its response for this long is considered disconnected. Callers abandon a
/// stream after a pause of 2 s or more.
constexpr core::duration write_timeout = std::chrono::seconds{8};
/// Idle timeout until a configuration is available.
constexpr core::duration default_idle_timeout = std::chrono::seconds{15};

catalog::request_limits limits_of(const relay_server& server)
{
    return server.table ? server.table->limits : catalog::request_limits{};
}

/// Whether the body length is unambiguous, to prevent request smuggling.
bool has_unambiguous_length(const request_head& head)
{
    const auto encodings = head.count(http::field::transfer_encoding);
    const auto lengths = head.count(http::field::content_length);
    if (encodings > 1 || lengths > 1 || (encodings > 0 && lengths > 0)) {
        return false;
    }
    return encodings == 0 || beast::iequals(head[http::field::transfer_encoding], "chunked");
}

} // namespace

caller_session::caller_session(relay_server& parent, tcp::socket accepted)
    : server(parent), registry(parent.sessions), socket(std::move(accepted)),
      body(parent.buffers, buffer_use::request)
{
}

caller_session::~caller_session()
{
    this->registry->erase(this);
}

asio::awaitable<void> caller_session::run()
{
    const auto self = this->shared_from_this();
    // On a busy instance the request has arrived before its connection is accepted.
    if (!this->read_arrived_bytes()) {
        this->close_socket();
        co_return;
    }
    // Closing a socket with unread bytes resets the connection, which could discard the response.
    bool may_have_unread_bytes = true;
    while (this->socket.is_open() && this->keep_open) {
        if (this->buffer.size() == 0) {
            this->buffer = {};
            this->waiting = true;
            this->waiting_since = event_loop::now();
            const auto limits = limits_of(this->server);
            this->expires =
                event_loop::now() + (this->server.table ? limits.idle_timeout : default_idle_timeout);
            error_code error;
            co_await this->socket.async_wait(tcp::socket::wait_read,
                                             asio::redirect_error(asio::use_awaitable, error));
            if (error && !this->has_unread_bytes()) {
                this->waiting = false;
                break;
            }
            // The wait was cancelled, but a request had arrived that a late event loop has not seen yet.
            this->timed_out = false;
            this->closing = false;
        }
        this->waiting = false;
        this->head_request = false;
        auto parser = std::make_unique<request_parser>();
        const auto end = co_await this->receive(*parser);
        this->receiving = false;
        if (end == request_read_result::closed) {
            break;
        }
        if (end != request_read_result::complete) {
            co_await this->reject_unreadable(end);
            break;
        }
        this->expires = core::instant::max();
        this->request = std::make_shared<caller_request>(parser->release());
        parser.reset();
        this->keep_open = this->request->keep_alive();
        this->head_request = this->request->method() == http::verb::head;
        if (this->refuses_next) {
            this->keep_open = false;
            ++this->server.counters.refused;
            const auto id = this->server.http_dialect.read_request(this->request->base()).id;
            const auto answer = connection_refusal();
            co_await send_refusal(this->server, *this, id, answer);
            break;
        }
        this->response_begun = false;
        co_await handle_request(this->server, *this, *this->request);
        this->stop_watching();
        this->connection.reset();
        this->second.reset();
        this->request.reset();
        this->body.release();
        if (this->disconnected || !this->keeps_open()) {
            may_have_unread_bytes = this->buffer.size() > 0 || this->has_unread_bytes();
            break;
        }
    }
    if (may_have_unread_bytes) {
        co_await this->drain();
    }
    this->close_socket();
}

void caller_session::close_socket()
{
    error_code ignored;
    this->socket.close(ignored);
}

/// Reads what has arrived on a new connection, without waiting.
/// @returns False if the caller has disconnected.
bool caller_session::read_arrived_bytes()
{
    const auto space = this->buffer.prepare(read_bytes);
    const auto received = ::recv(this->socket.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    if (received > 0) {
        this->buffer.commit(static_cast<std::size_t>(received));
        return true;
    }
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

asio::awaitable<request_read_result> caller_session::receive(request_parser& parser)
{
    const auto limits = limits_of(this->server);
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(limits.body_bytes);
    parser.eager(true);
    this->expires = event_loop::now() + limits.header_timeout;
    bool asked_to_continue = false;
    this->ended = false;
    this->receiving = true;
    while (!parser.is_done()) {
        error_code error;
        if (this->buffer.size() > 0) {
            this->buffer.consume(parser.put(this->buffer.data(), error));
            if (error == http::error::header_limit) {
                co_return request_read_result::head_too_large;
            }
            if (error == http::error::body_limit) {
                co_return request_read_result::body_too_large;
            }
            if (error && error != http::error::need_more) {
                co_return request_read_result::malformed;
            }
            if (parser.is_header_done() && !has_unambiguous_length(parser.get())) {
                co_return request_read_result::malformed;
            }
            // A stated length is refused before the body is sent.
            const auto stated = parser.is_header_done() ? parser.content_length().value_or(0) : 0;
            if (!this->body.resize(std::max<std::size_t>(stated, parser.get().body().size()))) {
                co_return request_read_result::no_room;
            }
            if (parser.is_done()) {
                break;
            }
            if (this->buffer.size() > limits.header_bytes + max_unparsed_bytes) {
                co_return request_read_result::malformed;
            }
        }
        if (parser.is_header_done() && !asked_to_continue) {
            asked_to_continue = true;
            if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
                co_await this->write("HTTP/1.1 100 Continue\r\n\r\n", {});
            }
        }
        const auto space = this->buffer.prepare(read_bytes);
        const auto received =
            co_await this->socket.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
        this->buffer.commit(received);
        if (error) {
            co_return this->ended ? request_read_result::shutting_down
            : this->timed_out     ? request_read_result::timed_out
                                  : request_read_result::closed;
        }
        if (parser.is_header_done()) {
            this->expires = event_loop::now() + limits.header_timeout;
        }
    }
    co_return request_read_result::complete;
}

asio::awaitable<void> caller_session::reject_unreadable(request_read_result end)
{
    this->keep_open = false;
    refusal answer;
    switch (end) {
    case request_read_result::head_too_large:
        answer = {.status = 431, .code = "too-large", .detail = "the head is larger than allowed"};
        break;
    case request_read_result::body_too_large:
        answer = {.status = 413, .code = "too-large", .detail = "the body is larger than allowed"};
        break;
    case request_read_result::timed_out:
        answer = {.status = 408, .code = "receive-timeout", .detail = "the request did not arrive in time"};
        break;
    case request_read_result::shutting_down:
        answer = shutdown_refusal();
        break;
    case request_read_result::no_room:
        ++this->server.counters.refused_buffers;
        answer = {.status = 503,
                  .code = to_string(core::failure::no_room),
                  .detail = "this instance holds as many bytes of bodies as it may",
                  .retry_after = other_instance_wait};
        break;
    default:
        answer = {.status = 400, .code = "malformed", .detail = "the request cannot be read"};
        break;
    }
    ++(answer.status == 503 ? this->server.counters.refused : this->server.counters.rejected);
    this->timed_out = false;
    co_await send_refusal(this->server, *this, {}, answer);
}

asio::awaitable<bool> caller_session::write(std::string_view head, std::string_view body)
{
    if (this->disconnected) {
        co_return false;
    }
    const std::array<asio::const_buffer, 2> pieces{asio::buffer(head.data(), head.size()),
                                                   asio::buffer(body.data(), body.size())};
    if (this->response_begun) {
        this->send_without_delay();
    }
    this->response_begun = true;
    const auto before = this->expires;
    this->expires = event_loop::now() + write_timeout;
    error_code error;
    co_await asio::async_write(this->socket, pieces, asio::redirect_error(asio::use_awaitable, error));
    this->expires = before;
    if (error) {
        this->handle_disconnect();
        co_return false;
    }
    co_return !this->disconnected;
}

std::string_view caller_session::connection_header() noexcept
{
    // A stopping instance answers what it has received before it announces the close.
    const bool leaves = this->server.shutting_down && this->buffer.size() == 0 && !this->has_unread_bytes();
    if (leaves || should_close_connections(this->server.load, event_loop::now()) ||
        should_close_after_response(this->server.descriptors())) {
        this->close_after_answer();
    }
    return this->keeps_open() ? "\r\n" : "Connection: close\r\n\r\n";
}

bool caller_session::check_disconnected()
{
    char byte = 0;
    const auto received = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
        this->handle_disconnect();
    }
    return this->disconnected;
}

void caller_session::send_without_delay()
{
    if (!std::exchange(this->no_delay, true)) {
        error_code ignored;
        this->socket.set_option(tcp::no_delay{true}, ignored);
    }
}

void caller_session::watch_for_disconnect()
{
    if (this->watch == 0) {
        this->watch = ++this->watches;
        this->wait_for_disconnect();
    }
}

void caller_session::wait_for_disconnect()
{
    this->socket.async_wait(tcp::socket::wait_read,
                            [self = this->shared_from_this(), number = this->watch](error_code error) {
                                if (error || self->watch != number || self->check_disconnected()) {
                                    return;
                                }
                                // A pipelined request waits until the current one is answered. Without one,
                                // the socket was reported readable for bytes that had been read since.
                                if (!self->has_unread_bytes()) {
                                    self->wait_for_disconnect();
                                }
                            });
}

void caller_session::stop_watching()
{
    if (std::exchange(this->watch, 0) != 0) {
        error_code ignored;
        this->socket.cancel(ignored);
    }
}

void caller_session::handle_disconnect()
{
    this->disconnected = true;
    this->cancel_attempt();
}

void caller_session::cancel_attempt() noexcept
{
    this->cancel_first();
    if (this->second) {
        this->second->close();
    }
}

void caller_session::cancel_first() noexcept
{
    if (this->connection) {
        this->connection->close();
    }
}

void caller_session::sweep(core::instant now)
{
    if (this->expires > now || this->timed_out) {
        return;
    }
    this->timed_out = true;
    error_code ignored;
    this->socket.cancel(ignored);
}

bool caller_session::waits_for_request(core::instant now) const noexcept
{
    return this->waiting && now - this->waiting_since >= request_arrival_time;
}

bool caller_session::idle(core::instant now)
{
    return this->waits_for_request(now) && !this->has_unread_bytes();
}

void caller_session::close_idle()
{
    this->closing = true;
    this->keep_open = false;
    error_code ignored;
    this->socket.cancel(ignored);
}

void caller_session::end_request()
{
    if (this->receiving) {
        this->ended = true;
        error_code ignored;
        this->socket.cancel(ignored);
        return;
    }
    // A response that has arrived is read first.
    const auto has_arrived = [](const std::shared_ptr<endpoint_connection>& link) {
        return link && detail::has_unread_bytes(*link);
    };
    const bool waits_for_endpoint = this->connection || this->second;
    if (!this->response_begun && waits_for_endpoint && !has_arrived(this->connection) &&
        !has_arrived(this->second)) {
        this->ended = true;
        this->cancel_attempt();
    }
}

bool caller_session::has_unread_bytes()
{
    return detail::has_unread_bytes(this->socket);
}

asio::awaitable<void> caller_session::drain()
{
    this->closing = true;
    error_code error;
    this->socket.shutdown(tcp::socket::shutdown_send, error);
    // Reads and drops what the caller still sends.
    this->timed_out = false;
    this->expires = event_loop::now() + drain_timeout;
    std::array<char, dropped_bytes> dropped{};
    while (!error && !this->disconnected && !this->timed_out) {
        co_await this->socket.async_read_some(asio::buffer(dropped),
                                              asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace hibiscusfall::relay::detail
