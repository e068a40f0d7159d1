#pragma once

#include "endpoint_link.hpp"

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
using whole_parser = http::response_parser<http::string_body>;
using piece_parser = http::response_parser<http::buffer_body>;

/// @brief How a step of reading an answer ended.
enum class answer_end : std::uint8_t {
    good,
    timed_out, ///< The link's time was over.
    closed,    ///< The connection ended or broke.
    garbled    ///< What came is no answer to this request.
};

/// @brief Begins to send a request; the link holds its bytes until they are sent.
/// @param head The request line and fields, with the empty line.
void begin_sending(const std::shared_ptr<endpoint_link>& link, std::string head, std::string_view body);

/// @brief Reads up to the end of the head of the answer to one request. Whole answers to other requests that
/// are in front of it are dropped and counted.
asio::awaitable<answer_end> read_head(std::shared_ptr<endpoint_link> link,
                                      const dialect& speak,
                                      std::string_view request_id,
                                      bool head_request,
                                      std::unique_ptr<head_parser>& result,
                                      std::uint64_t& foreign_answers);

/// @brief Reads the rest of an answer's body.
asio::awaitable<answer_end> read_rest(std::shared_ptr<endpoint_link> link, whole_parser& parser);

/// @brief Reads the next piece of a body.
/// @param piece Receives it; empty at the end of the answer.
asio::awaitable<answer_end>
read_piece(std::shared_ptr<endpoint_link> link, piece_parser& parser, std::string& piece);

} // namespace hibiscusfall::relay::detail
