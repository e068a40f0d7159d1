#include "scripted_endpoint.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <future>

namespace hibiscusfall::testing
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

std::optional<received_request> endpoint_connection::read_request()
{
    boost::system::error_code error;
    http::request<http::string_body> request;
    http::read(this->socket, this->buffer, request, error);
    this->used = this->used || !error || this->buffer.size() > 0;
    if (!this->used) {
        throw unused_connection{};
    }
    if (error) {
        return std::nullopt;
    }
    received_request result{.method = std::string{request.method_string()},
                            .target = std::string{request.target()},
                            .id = std::string{request["X-Request-Id"]},
                            .last_event_id = std::string{request["Last-Event-ID"]},
                            .body = request.body(),
                            .fields = {}};
    for (const auto& field : request) {
        std::string name{field.name_string()};
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        result.fields[name] = std::string{field.value()};
    }
    if (result.target == "/status") {
        if (this->owner.answers_status) {
            this->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        } else {
            this->wait_for_close();
        }
        return std::nullopt;
    }
    const bool is_cancel = result.target == "/v1/cancel";
    {
        const std::lock_guard lock(this->owner.mutex);
        if (is_cancel) {
            this->owner.cancelled.push_back(result.body);
        } else {
            this->owner.received.push_back(result);
        }
    }
    if (is_cancel) {
        this->write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return std::nullopt;
    }
    return result;
}

void endpoint_connection::drop_bytes(std::size_t count)
{
    boost::system::error_code error;
    std::array<char, 4096> dropped{};
    while (count > 0 && !error) {
        const auto got = this->socket.read_some(asio::buffer(dropped), error);
        this->used = this->used || got > 0;
        count -= std::min(count, got);
    }
}

bool endpoint_connection::try_write(std::string_view text)
{
    boost::system::error_code error;
    asio::write(this->socket, asio::buffer(text.data(), text.size()), error);
    return !error;
}

void endpoint_connection::reset()
{
    const std::lock_guard lock(this->closing);
    boost::system::error_code ignored;
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
}

void endpoint_connection::wait_for_close()
{
    boost::system::error_code error;
    std::array<char, 512> dropped{};
    while (!error) {
        this->socket.read_some(asio::buffer(dropped), error);
    }
}

void endpoint_connection::shut()
{
    const std::lock_guard lock(this->closing);
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
}

void endpoint_connection::shut_sending()
{
    const std::lock_guard lock(this->closing);
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void endpoint_connection::crash_endpoint()
{
    this->owner.crash();
}

scripted_endpoint::scripted_endpoint(script given) : behaviour(std::move(given))
{
    this->acceptor.open(tcp::v4());
    this->acceptor.bind({asio::ip::address_v4::loopback(), 0});
    this->acceptor.listen();
    this->own_address = {.host = "127.0.0.1", .port = this->acceptor.local_endpoint().port()};
    this->accept_next();
    this->accept_thread = std::thread([this] { this->context.run(); });
}

scripted_endpoint::~scripted_endpoint()
{
    asio::post(this->context, [this] { this->acceptor.close(); });
    this->accept_thread.join();
    {
        const std::lock_guard lock(this->mutex);
        for (auto& connection : this->connections) {
            connection.shut();
        }
    }
    for (auto& thread : this->threads) {
        thread.join();
    }
}

void scripted_endpoint::accept_next()
{
    this->acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
            return;
        }
        const std::lock_guard lock(this->mutex);
        auto& connection = this->connections.emplace_back(*this, std::move(socket));
        this->threads.emplace_back([this, &connection] {
            try {
                this->behaviour(connection);
            } catch (const unused_connection&) { // nothing to answer
            }
            connection.shut();
        });
        this->accept_next();
    });
}

void scripted_endpoint::crash()
{
    std::promise<void> closed;
    asio::post(this->context, [&] {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        closed.set_value();
    });
    closed.get_future().wait();
    const std::lock_guard lock(this->mutex);
    for (auto& connection : this->connections) {
        connection.shut();
    }
}

std::vector<received_request> scripted_endpoint::requests() const
{
    const std::lock_guard lock(this->mutex);
    return this->received;
}

std::vector<std::string> scripted_endpoint::cancels() const
{
    const std::lock_guard lock(this->mutex);
    return this->cancelled;
}

std::string json_answer(std::string_view body, std::string_view headers)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + std::string{headers} +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string{body};
}

std::string stream_head()
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(std::string_view text)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + std::string{text} + "\r\n";
}

std::string numbered_event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: {\"text\":\"w" + std::to_string(id) + "\"}\n\n";
}

std::string stream_end()
{
    return chunk("data: [DONE]\n\n") + "0\r\n\r\n";
}

std::string event_chunks(int from, int to)
{
    std::string text;
    for (int id = from; id < to; ++id) {
        text += chunk(numbered_event(id));
    }
    return text;
}

} // namespace hibiscusfall::testing
