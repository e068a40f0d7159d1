#include "testbed/http_caller.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cctype>
#include <limits>
#include <optional>
#include <thread>

namespace hibiscusfall::testbed
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using clock = std::chrono::steady_clock;

/// One call on its way. It lives as long as one of its steps is pending.
struct exchange : std::enable_shared_from_this<exchange> {
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http_call call;
    std::function<void(http_answer)> done;
    http::request<http::string_body> request;
    http::response_parser<http::string_body> parser;
    http_answer answer;

    exchange(asio::io_context& context, http_call given, std::function<void(http_answer)> when_done)
        : stream(context), call(std::move(given)), done(std::move(when_done))
    {
        this->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    /// What to call when a step has ended: the next step, or the end with the failure.
    template <class function>
    auto unless_failed(function next)
    {
        return [self = this->shared_from_this(), next](beast::error_code failure, std::size_t /*bytes*/) {
            if (failure) {
                self->finish(failure);
            } else {
                next();
            }
        };
    }

    void begin()
    {
        this->answer.begun = clock::now();
        this->stream.expires_after(this->call.timeout);
        beast::error_code error;
        const auto host = asio::ip::make_address(this->call.to.host, error);
        if (error) {
            this->finish(error);
            return;
        }
        this->stream.async_connect(
            asio::ip::tcp::endpoint{host, this->call.to.port},
            [self = this->shared_from_this()](beast::error_code failure) { self->write(failure); });
    }

    void write(beast::error_code error)
    {
        if (error) {
            this->finish(error);
            return;
        }
        this->answer.connected = true;
        beast::error_code ignored;
        this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        this->request.method_string(this->call.method);
        this->request.target(this->call.target);
        this->request.set(http::field::host, core::to_string(this->call.to));
        for (const auto& [name, value] : this->call.headers) {
            this->request.set(name, value);
        }
        this->request.keep_alive(false);
        this->request.body() = this->call.body;
        this->request.prepare_payload();
        http::async_write(this->stream, this->request, this->unless_failed([this] { this->read_head(); }));
    }

    void read_head()
    {
        http::async_read_header(this->stream, this->buffer, this->parser, this->unless_failed([this] {
            this->take_head();
            this->read_body();
        }));
    }

    void take_head()
    {
        this->answer.status = static_cast<int>(this->parser.get().result_int());
        for (const auto& field : this->parser.get()) {
            std::string name{field.name_string()};
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
                return static_cast<char>(std::tolower(letter));
            });
            this->answer.headers[name] = std::string{field.value()};
        }
    }

    void read_body()
    {
        const auto size = this->parser.get().body().size();
        if (size > (this->answer.pieces.empty() ? 0 : this->answer.pieces.back().end)) {
            this->answer.pieces.push_back({.arrived = clock::now(), .end = size});
        }
        if (this->parser.is_done()) {
            this->answer.whole = true;
            this->finish({});
            return;
        }
        http::async_read_some(
            this->stream, this->buffer, this->parser, this->unless_failed([this] { this->read_body(); }));
    }

    void finish(beast::error_code error)
    {
        this->answer.error = error ? error.message() : "";
        this->answer.body = std::move(this->parser.get().body());
        this->answer.ended = clock::now();
        beast::error_code ignored;
        this->stream.socket().close(ignored);
        this->done(std::move(this->answer));
    }
};

} // namespace

std::string http_answer::header(const std::string& lower_case_name) const
{
    const auto found = this->headers.find(lower_case_name);
    return found == this->headers.end() ? std::string{} : found->second;
}

struct http_caller::state {
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work = asio::make_work_guard(this->context);
    std::thread thread;
};

http_caller::http_caller() : shared(std::make_unique<state>())
{
    this->shared->thread = std::thread([this] { this->shared->context.run(); });
}

http_caller::~http_caller()
{
    this->shared->context.stop();
    this->shared->thread.join();
}

void http_caller::start(http_call call, std::function<void(http_answer)> done)
{
    asio::post(this->shared->context, [this, call = std::move(call), done = std::move(done)]() mutable {
        std::make_shared<exchange>(this->shared->context, std::move(call), std::move(done))->begin();
    });
}

void http_caller::at(std::chrono::steady_clock::time_point when, std::function<void()> work)
{
    asio::post(this->shared->context, [this, when, work = std::move(work)]() mutable {
        auto timer = std::make_shared<asio::steady_timer>(this->shared->context, when);
        timer->async_wait([timer, work = std::move(work)](const beast::error_code& error) {
            if (!error) {
                work();
            }
        });
    });
}

http_answer send(const http_call& call)
{
    asio::io_context context{1};
    http_answer result;
    std::make_shared<exchange>(context, call, [&result](http_answer answer) {
        result = std::move(answer);
    })->begin();
    context.run();
    return result;
}

http_answer get(const core::address& from, const std::string& target)
{
    return send({.to = from, .method = "GET", .target = target, .headers = {}, .body = {}});
}

http_answer post(const core::address& to, const std::string& target, const std::string& json)
{
    return send(
        {.to = to, .target = target, .headers = {{"Content-Type", "application/json"}}, .body = json});
}

std::size_t count_events(std::string_view body)
{
    std::size_t events = 0;
    constexpr std::string_view mark = "data: {";
    for (auto at = body.find(mark); at != std::string_view::npos; at = body.find(mark, at + mark.size())) {
        ++events;
    }
    return events;
}

} // namespace hibiscusfall::testbed
