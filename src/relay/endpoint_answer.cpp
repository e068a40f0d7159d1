#include "endpoint_answer.hpp"

#include "hibiscusfall/traffic/joined_head.hpp"

#include <array>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace hibiscusfall::relay::detail
{

namespace
{

constexpr std::size_t read_bytes = 4096;
constexpr std::size_t piece_bytes = 4096;
/// Responses to other requests that may precede the expected one.
constexpr int max_mismatched_responses = 3;
/// Interim responses (1xx) that may precede a response.
constexpr int max_interim_responses = 8;
/// Numbers that are a status (RFC 9110, section 15); a response with another one is malformed.
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
/// Size limit of a buffered response. The process uses 88 MB or more (DEPLOY.md); typical responses of plain
/// services have 800 bytes.
constexpr std::uint64_t max_buffered_bytes = 4U << 20U;
/// Unparsed bytes after which a response is malformed. Bounds heads, chunk extensions and trailers.
constexpr std::size_t max_unparsed_bytes = 65536;

/// Receives more bytes into the connection's buffer.
/// @param ended Set to whether the connection has ended in order, which completes a message without a length.
asio::awaitable<read_result> receive(std::shared_ptr<endpoint_connection> connection, bool& ended)
{
    ended = false;
    // The deadline may have passed while no operation was in progress that it could cancel.
    if (connection->timed_out) {
        co_return read_result::timed_out;
    }
    error_code error;
    const auto space = connection->buffer.prepare(read_bytes);
    const auto received =
        co_await connection->socket.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
    connection->buffer.commit(received);
    ended = error == asio::error::eof && !connection->failed;
    if (!error) {
        co_return read_result::complete;
    }
    co_return connection->timed_out ? read_result::timed_out : read_result::closed;
}

std::size_t body_size(const head_parser& /*parser*/)
{
    return 0;
}

std::size_t body_size(const buffered_parser& parser)
{
    return parser.get().body().size();
}

/// Feeds received bytes to a parser until the message, or only its head, is complete.
template <class parser_type>
asio::awaitable<read_result>
read_with(std::shared_ptr<endpoint_connection> connection, parser_type& parser, bool head_only)
{
    while (!(head_only ? parser.is_header_done() : parser.is_done())) {
        error_code error;
        if (connection->buffer.size() > 0) {
            const auto used = parser.put(connection->buffer.data(), error);
            connection->buffer.consume(used);
            if (error && error != http::error::need_more) {
                co_return read_result::malformed;
            }
            if (!error && used > 0) {
                continue;
            }
        }
        if (connection->buffer.size() > max_unparsed_bytes) {
            co_return read_result::malformed;
        }
        if (!connection->received.resize(connection->buffer.size() + body_size(parser))) {
            co_return read_result::no_room;
        }
        bool ended = false;
        const auto end = co_await receive(connection, ended);
        if (ended && parser.is_header_done()) {
            parser.put_eof(error);
            co_return !error && parser.is_done() ? read_result::complete : read_result::closed;
        }
        if (end != read_result::complete) {
            co_return end;
        }
    }
    co_return read_result::complete;
}

} // namespace

void start_sending(const std::shared_ptr<endpoint_connection>& connection,
                   std::string head,
                   std::shared_ptr<const std::string> body)
{
    connection->request = std::move(head);
    connection->request_body = std::move(body);
    connection->sent_bytes = 0;
    connection->sent_all = false;
    connection->send_failed = false;
    std::array<asio::const_buffer, 2> buffers{asio::buffer(connection->request)};
    if (connection->request_body) {
        buffers[1] = asio::buffer(*connection->request_body);
    }
    asio::async_write(connection->socket, buffers, [connection](error_code error, std::size_t bytes) {
        connection->sent_bytes = bytes;
        connection->sent_all = !error;
        connection->send_failed = bool{error};
        connection->failed = connection->failed || error;
        connection->request_body.reset();
    });
}

asio::awaitable<read_result> read_head(std::shared_ptr<endpoint_connection> connection,
                                       const dialect& http_dialect,
                                       std::string_view request_id,
                                       bool head_request,
                                       std::unique_ptr<head_parser>& result,
                                       std::uint64_t& mismatched_responses)
{
    connection->carried_head_request = connection->carried_head_request || head_request;
    int interim = 0;
    for (int dropped = 0; dropped <= max_mismatched_responses && interim <= max_interim_responses;) {
        result = std::make_unique<head_parser>();
        result->skip(head_request);
        result->body_limit(max_buffered_bytes);
        const auto end = co_await read_with(connection, *result, true);
        if (end != read_result::complete) {
            co_return end;
        }
        const auto status = result->get().result_int();
        if (traffic::is_joined_head(result->get()) || status < min_status || status > max_status) {
            co_return read_result::malformed;
        }
        if (status / 100 == 1) {
            ++interim;
            continue;
        }
        const auto metadata = http_dialect.read_response(result->get());
        if (metadata.request_id.empty()) {
            // Only its place on the connection ties it to the request. A later response without an id could
            // be this one once more.
            connection->broken = true;
            co_return read_result::complete;
        }
        if (metadata.request_id == request_id) {
            co_return read_result::complete;
        }
        ++dropped;
        ++mismatched_responses;
        // The end of the response is unknown if its connection ends it, or if it may answer a HEAD request.
        if (result->need_eof() || connection->carried_head_request) {
            co_return read_result::malformed;
        }
        buffered_parser foreign{std::move(*result)};
        const auto rest = co_await read_with(connection, foreign, false);
        if (rest != read_result::complete) {
            co_return rest;
        }
    }
    co_return read_result::malformed;
}

asio::awaitable<read_result> read_body(std::shared_ptr<endpoint_connection> connection,
                                       buffered_parser& parser)
{
    return read_with(std::move(connection), parser, false);
}

asio::awaitable<read_result>
read_body_chunk(std::shared_ptr<endpoint_connection> connection, streaming_parser& parser, std::string& piece)
{
    std::array<char, piece_bytes> space{};
    piece.clear();
    while (!parser.is_done()) {
        error_code error;
        if (connection->buffer.size() > 0) {
            auto& body = parser.get().body();
            body.data = space.data();
            body.size = space.size();
            const auto used = parser.put(connection->buffer.data(), error);
            connection->buffer.consume(used);
            piece.append(space.data(), space.size() - body.size);
            if (error == http::error::need_buffer) {
                error = {};
            }
            if (error && error != http::error::need_more) {
                co_return read_result::malformed;
            }
            if (used > 0 && !error) {
                continue; // consume all buffered bytes before returning
            }
        }
        if (!piece.empty()) {
            co_return read_result::complete;
        }
        if (connection->buffer.size() > max_unparsed_bytes) {
            co_return read_result::malformed;
        }
        bool ended = false;
        const auto end = co_await receive(connection, ended);
        if (ended) {
            parser.put_eof(error);
            co_return !error && parser.is_done() ? read_result::complete : read_result::closed;
        }
        if (end != read_result::complete) {
            co_return end;
        }
    }
    co_return read_result::complete;
}

} // namespace hibiscusfall::relay::detail
