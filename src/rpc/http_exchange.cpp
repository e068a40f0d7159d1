#include "http_exchange.hpp"

#include <cxxtools/connectable.h>
#include <cxxtools/delegate.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/ioerror.h>
#include <cxxtools/selector.h>
#include <cxxtools/signal.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace hibiscusfall
{
namespace rpc
{
namespace detail
{

namespace
{

using clock = std::chrono::steady_clock;

/// The answer's body grew beyond its limit.
struct body_too_long : std::runtime_error {
    body_too_long() : std::runtime_error("the answer is longer than allowed") {}
};

/// A call on its way. The asynchronous client is used, as its waits can end at a point in time; the
/// blocking one begins its time anew with each piece that arrives.
class exchange : public cxxtools::Connectable
{
public:
    exchange(const client_options& given, const peer& to)
        : options(given), client(this->selector, to.host, to.port)
    {
        cxxtools::connect(this->client.requestSent, *this, &exchange::on_sent);
        cxxtools::connect(this->client.replyFinished, *this, &exchange::on_finished);
        cxxtools::connect(this->client.bodyAvailable, *this, &exchange::on_body);
    }

    bool was_sent() const noexcept { return this->sent; }

    /// Returns whether the whole answer came in time.
    bool run(const cxxtools::http::Request& request)
    {
        this->due = clock::now() + this->options.connect_timeout;
        this->client.beginExecute(request);
        while (!this->finished) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(this->due - clock::now());
            if (left.count() <= 0) {
                return false;
            }
            this->selector.wait(cxxtools::Milliseconds(static_cast<double>(left.count())));
        }
        this->client.endExecute();
        return true;
    }

    void take_answer(http_end& end)
    {
        const auto& header = this->client.header();
        const char* tag = header.getHeader(tag_header);
        end.status = header.httpReturnCode();
        end.tag = tag == nullptr ? "" : tag;
        end.body = std::move(this->body);
    }

private:
    void on_sent(cxxtools::http::Client& /*client*/)
    {
        this->sent = true;
        this->due = clock::now() + this->options.answer_timeout;
    }

    void on_finished(cxxtools::http::Client& /*client*/) { this->finished = true; }

    std::size_t on_body(cxxtools::http::Client& from)
    {
        constexpr std::size_t piece_bytes = 16384;
        std::array<char, piece_bytes> piece{};
        std::size_t taken = 0;
        auto* buffer = from.in().rdbuf();
        for (auto ready = buffer->in_avail(); ready > 0; ready = buffer->in_avail()) {
            const auto wanted = std::min<std::streamsize>(ready, piece.size());
            const auto count = static_cast<std::size_t>(buffer->sgetn(piece.data(), wanted));
            if (this->body.size() + count > this->options.max_answer_bytes) {
                throw body_too_long();
            }
            this->body.append(piece.data(), count);
            taken += count;
        }
        return taken;
    }

    const client_options& options;
    cxxtools::Selector selector;
    cxxtools::http::Client client;
    clock::time_point due;
    bool sent = false;
    bool finished = false;
    std::string body;
};

http_end failed(failure kind, const std::string& reason)
{
    http_end end;
    end.kind = kind;
    end.reason = reason;
    return end;
}

} // namespace

http_end post(const client_options& options, const peer& to, const std::string& tag, const std::string& body)
{
    bool sent = false;
    try {
        exchange running(options, to);
        try {
            cxxtools::http::Request request(options.path);
            request.method("POST");
            request.setHeader("Content-Type", "application/json");
            request.setHeader("Connection", "close");
            request.setHeader(tag_header, tag.c_str());
            request.body() << body;
            if (!running.run(request)) {
                return running.was_sent() ? failed(failure::silent, "no whole answer in time")
                                          : failed(failure::unreachable, "no connection in time");
            }
            http_end end;
            running.take_answer(end);
            return end;
        } catch (...) {
            sent = running.was_sent();
            throw;
        }
    } catch (const body_too_long& error) {
        return failed(failure::oversize, error.what());
    } catch (const cxxtools::IOError& error) {
        return failed(sent ? failure::closed : failure::unreachable, error.what());
    } catch (const std::exception& error) {
        return failed(sent ? failure::unreadable : failure::unreachable, error.what());
    }
}

} // namespace detail
} // namespace rpc
} // namespace hibiscusfall
