#include "page_server.hpp"

#include "listener.hpp"
#include "refusal.hpp"

#include "hibiscusfall/traffic/beast_text.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <memory>

namespace hibiscusfall::relay::detail
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;
using traffic::to_view;
using shared_renderer = std::shared_ptr<page_renderer>;

constexpr core::duration accept_pause = std::chrono::milliseconds{20};

/// Responds to requests on one connection until it is closed. Assumes requests without bodies.
asio::awaitable<void> answer(tcp::socket client, shared_renderer render)
{
    constexpr std::uint32_t max_head_bytes = 16384;
    beast::flat_buffer received{max_head_bytes};
    error_code failed;
    while (true) {
        http::request_parser<http::empty_body> request;
        request.header_limit(max_head_bytes);
        co_await http::async_read(
            client, received, request, asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            co_return;
        }
        const page rendered = (*render)(to_view(request.get().target()));
        std::string text = "HTTP/1.1 " + std::to_string(rendered.status) + " ";
        text += reason_phrase(rendered.status);
        text += "\r\nContent-Type: " + rendered.content_type +
                "\r\nContent-Length: " + std::to_string(rendered.body.size()) + "\r\n\r\n" + rendered.body;
        co_await asio::async_write(
            client, asio::buffer(text), asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            co_return;
        }
    }
}

asio::awaitable<void>
accept(event_loop& loop, std::shared_ptr<tcp::acceptor> acceptor, shared_renderer render)
{
    while (true) {
        error_code error;
        tcp::socket socket{loop.context()};
        co_await acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            co_await loop.sleep(accept_pause);
            continue;
        }
        asio::co_spawn(loop.context(), answer(std::move(socket), render), loop.log_failure("page"));
    }
}

} // namespace

tcp::acceptor open_listener(event_loop& loop, const core::address& at)
{
    // A small instance accepts about 300 connections per second, and callers wait 1 s for a connection.
    constexpr int backlog = 128;
    tcp::acceptor acceptor{loop.context()};
    const tcp::endpoint where{asio::ip::make_address_v4(at.host), at.port};
    acceptor.open(where.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address{true});
    acceptor.bind(where);
    acceptor.listen(backlog);
    return acceptor;
}

void serve_pages(event_loop& loop, const core::address& at, page_renderer render)
{
    auto acceptor = std::make_shared<tcp::acceptor>(open_listener(loop, at));
    auto shared = std::make_shared<page_renderer>(std::move(render));
    loop.keep_running("accept_pages", [&loop, acceptor, shared] { return accept(loop, acceptor, shared); });
}

} // namespace hibiscusfall::relay::detail
