#include "standins/parts/http_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

#include <array>
#include <cstdio>
#include <memory>
#include <sys/socket.h>
#include <thread>

namespace hibiscusfall::standins
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint64_t largest_body_bytes = 64U << 20U;

std::string make_head(int status, const header_list& headers)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    std::string head =
        "HTTP/1.1 " + std::to_string(status) + " " + std::string{reason.data(), reason.size()} + "\r\n";
    for (const auto& [name, value] : headers) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
    return head;
}

bool has_content_type(const header_list& headers)
{
    for (const auto& [name, value] : headers) {
        if (name == "Content-Type") {
            return true;
        }
    }
    return false;
}

void serve_connection(connection& client, const http_server_options& options)
{
    beast::flat_buffer buffer;
    while (true) {
        if (buffer.size() == 0 && !options.before_reading(client)) {
            break;
        }
        http::request_parser<http::string_body> parser;
        parser.body_limit(largest_body_bytes);
        beast::error_code error;
        http::read(client.handle(), buffer, parser, error);
        if (error || !options.handle(client, parser.get()) || !parser.get().keep_alive()) {
            break;
        }
    }
    client.close();
}

} // namespace

bool connection::write(std::string_view bytes)
{
    beast::error_code error;
    asio::write(this->socket, asio::buffer(bytes.data(), bytes.size()), error);
    return !error;
}

bool connection::reply(int status, std::string_view body, const header_list& headers)
{
    auto all = headers;
    if (!has_content_type(all)) {
        all.emplace_back("Content-Type", "application/json");
    }
    all.emplace_back("Content-Length", std::to_string(body.size()));
    return this->write(make_head(status, all) + "\r\n" + std::string{body});
}

bool connection::begin_chunks(std::string_view content_type, const header_list& headers)
{
    constexpr int ok = 200;
    auto all = headers;
    all.emplace_back("Content-Type", std::string{content_type});
    all.emplace_back("Transfer-Encoding", "chunked");
    return this->write(make_head(ok, all) + "\r\n");
}

bool connection::write_chunk(std::string_view bytes)
{
    std::array<char, 20> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string whole(size.data(), static_cast<std::size_t>(length));
    whole.append(bytes);
    whole += "\r\n";
    return this->write(whole);
}

bool connection::peer_closed()
{
    char byte = 0;
    const auto got = ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::string connection::peek()
{
    std::array<char, 32> bytes{};
    const auto got = ::recv(this->socket.native_handle(), bytes.data(), bytes.size(), MSG_PEEK);
    return got <= 0 ? std::string{} : std::string(bytes.data(), static_cast<std::size_t>(got));
}

void connection::close()
{
    beast::error_code ignored;
    this->socket.close(ignored);
}

std::string serve_http(const http_server_options& options)
{
    asio::io_context context{1};
    tcp::acceptor acceptor{context};
    beast::error_code error;
    const auto host = asio::ip::make_address(options.host, error);
    if (!error) {
        acceptor.open(tcp::v4(), error);
    }
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind({host, options.port}, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    while (!error) {
        tcp::socket socket{context};
        acceptor.accept(socket, error);
        if (!error) {
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::thread([client = std::make_shared<connection>(std::move(socket)), &options] {
                serve_connection(*client, options);
            }).detach();
        }
    }
    return options.host + ":" + std::to_string(options.port) + ": " + error.message();
}

std::string header_of(const http_request& request, std::string_view name)
{
    const auto value = request[boost::beast::string_view{name.data(), name.size()}];
    return {value.data(), value.size()};
}

} // namespace hibiscusfall::standins
