#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscusfall::standins
{

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief One accepted connection, with full control over the bytes that go back.
class connection
{
public:
    explicit connection(boost::asio::ip::tcp::socket given) : socket(std::move(given)) {}

    /// @brief Writes raw bytes.
    /// @returns Whether they were taken.
    bool write(std::string_view bytes);

    /// @brief Writes a whole answer with its length.
    bool reply(int status, std::string_view body, const header_list& headers = {});

    /// @brief Writes the head of an answer in chunks.
    bool begin_chunks(std::string_view content_type, const header_list& headers = {});
    bool write_chunk(std::string_view bytes);
    bool end_chunks() { return this->write("0\r\n\r\n"); }

    /// @brief Whether the other side has closed.
    [[nodiscard]] bool peer_closed();

    /// @brief The first bytes that wait to be read, without reading them.
    [[nodiscard]] std::string peek();

    /// @brief Closes at once; bytes that were not read make it a reset.
    void close();

    [[nodiscard]] boost::asio::ip::tcp::socket& handle() noexcept { return this->socket; }

private:
    boost::asio::ip::tcp::socket socket;
};

/// @brief Where a stand-in listens and what it does with requests.
struct http_server_options {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;

    /// Looks at a connection before anything is read; the connection is closed when it returns false.
    std::function<bool(connection&)> before_reading = [](connection& /*from*/) { return true; };

    /// Answers one request; the connection is closed when it returns false.
    std::function<bool(connection&, const http_request&)> handle;
};

/// @brief Serves until the process ends, with one thread for each connection.
/// @returns Why it could not listen.
std::string serve_http(const http_server_options& options);

/// @brief A header's value; empty when there is none.
[[nodiscard]] std::string header_of(const http_request& request, std::string_view name);

} // namespace hibiscusfall::standins
