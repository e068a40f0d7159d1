#pragma once

#include "endpoint_connection.hpp"

#include "hibiscusfall/core/verdict.hpp"
#include "hibiscusfall/relay/dialect.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hibiscusfall::relay::detail
{

using head_parser = http::response_parser<http::empty_body>;
using buffered_parser = http::response_parser<http::string_body>;
using streaming_parser = http::response_parser<http::buffer_body>;

/// @brief Result of a step in reading a response.
enum class read_result : std::uint8_t {
    complete,
    timed_out, ///< The connection's deadline passed.
    closed,    ///< The connection was closed or reset.
    malformed, ///< The bytes received are no response to this request.
    no_room    ///< The instance has no room for the bytes received.
};

/// @brief Starts to send a request. The connection holds the bytes until they are sent.
/// @param head Request line and headers, including the empty line.
/// @param body Null for none.
void start_sending(const std::shared_ptr<endpoint_connection>& connection,
                   std::string head,
                   std::shared_ptr<const std::string> body);

/// @brief Reads the head of the response to a request. Complete responses to other requests that precede it
/// are dropped and counted.
/// @remarks A response without a request id belongs to the request, since the connection has brought none
/// before: after one the connection is marked as broken.
asio::awaitable<read_result> read_head(std::shared_ptr<endpoint_connection> connection,
                                       const dialect& http_dialect,
                                       std::string_view request_id,
                                       bool head_request,
                                       std::unique_ptr<head_parser>& result,
                                       std::uint64_t& mismatched_responses);

/// @brief Reads the rest of a response body.
asio::awaitable<read_result> read_body(std::shared_ptr<endpoint_connection> connection,
                                       buffered_parser& parser);

/// @brief Reads the next available bytes of a body.
/// @param piece Receives the bytes; empty at the end of the response.
asio::awaitable<read_result> read_body_chunk(std::shared_ptr<endpoint_connection> connection,
                                             streaming_parser& parser,
                                             std::string& piece);

} // namespace hibiscusfall::relay::detail
