#include "further_response.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace hibiscusfall::relay::detail
{

namespace
{

/// Positions at which a head is looked for. Bounds the time for bodies that repeat the start of one.
constexpr int max_positions = 64;

} // namespace

further_response
find_further_response(std::string_view bytes, const dialect& http_dialect, const response_search& search)
{
    constexpr std::string_view start = "HTTP/1.";
    auto found = further_response::none;
    auto position = bytes.find(start);
    for (int tried = 0; tried < max_positions && position < search.starts_before; ++tried) {
        const auto rest = bytes.substr(position);
        http::response_parser<http::empty_body> parser;
        parser.skip(true);
        boost::system::error_code error;
        parser.put(boost::asio::buffer(rest.data(), rest.size()), error);
        if (!error && parser.is_header_done()) {
            const auto metadata = http_dialect.read_response(parser.get());
            if (metadata.request_id == search.request_id ||
                (search.any_request && !metadata.request_id.empty())) {
                if (!metadata.not_run) {
                    return further_response::answer;
                }
                found = further_response::refusal;
            }
        }
        position = bytes.find(start, position + start.size());
    }
    return found;
}

} // namespace hibiscusfall::relay::detail
