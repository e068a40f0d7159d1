#include "hibiscusfall/traffic/caller_server.hpp"

#include "refusal.hpp"
#include "request_relay.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <sodium.h>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

namespace hibiscusfall::traffic
{

namespace
{

using core::failure;
using core::verdict;
using detail::closing_phase;
using detail::http_socket;
using detail::asio::ip::tcp;
using clock = std::chrono::steady_clock;

constexpr auto stop_poll = std::chrono::milliseconds{20};
constexpr auto unwind_limit = std::chrono::seconds{5};
constexpr core::duration cutting_time = std::chrono::milliseconds{500}; ///< For the last error events.
constexpr int closing_parts = 4;
constexpr int late_tenths = 7; ///< Of the limit, until requests without a slot are refused.
constexpr core::duration linger = std::chrono::milliseconds{300};
constexpr core::duration turned_away_limit = std::chrono::milliseconds{500};
constexpr std::size_t turned_away_at_once = 64;     ///< Connections over the bound that get an answer.
constexpr std::uint64_t dropped_body_bytes = 65536; ///< Body of a refused request that is read to keep on.

/// The first part of request ids: no other start of any instance uses it.
std::string make_id_prefix(const core::instance_id& instance)
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
    return instance.str() + "-" + std::to_string(micros) + "-";
}

/// What to tell the sender of a request that could not be read; nothing when nobody listens.
std::optional<verdict> describe_unreadable(const detail::request_parser& parser,
                                           const detail::beast::error_code& error,
                                           bool leaving)
{
    namespace http = detail::http;
    const auto message = error.message();
    if (leaving) {
        // The sending side may still be open when the rest of a request was not waited for.
        return parser.got_some()
                   ? std::optional{verdict::not_run(failure::shutting_down, "the instance is leaving")}
                   : std::nullopt;
    }
    if (error == detail::beast::error::timeout) {
        return parser.got_some() ? std::optional{verdict::not_run(failure::receive_timeout,
                                                                  "the request did not arrive in time")}
                                 : std::nullopt;
    }
    if (error == http::error::header_limit || error == http::error::body_limit) {
        return verdict::not_run(failure::too_large, message);
    }
    const bool is_http = error.category() == make_error_code(http::error::bad_method).category();
    if (is_http && error != http::error::end_of_stream && error != http::error::partial_message) {
        return verdict::not_run(failure::malformed, message);
    }
    return std::nullopt;
}

} // namespace

struct caller_server::state {
    detail::relay_state relay;
    std::string id_prefix;
    detail::asio::io_context accept_context;
    tcp::acceptor acceptor{accept_context};
    tcp::endpoint bound;
    std::thread accept_thread;
    std::atomic<std::uint64_t> requests = 0;
    std::mutex mutex;
    std::condition_variable ended;
    std::set<http_socket*> connections;
    std::map<http_socket*, core::instant> idle; ///< Connections between two requests, since when.
    std::set<http_socket*> receiving;           ///< Connections whose request's body is being read.

    state(const caller_server_options& options, traffic_ports ports)
        : relay(options, std::move(ports)), id_prefix(make_id_prefix(options.instance))
    {
    }

    void accept_next(const std::shared_ptr<state>& self);
    void admit(const std::shared_ptr<state>& self, const std::shared_ptr<http_socket>& socket);
    void close_longest_idle();
    void serve(http_socket& socket);
    bool serve_request(http_socket& socket);
    bool refuse_unread(http_socket& socket, detail::request_parser& parser, const verdict& refusal);
    bool refuse_unreadable(http_socket& socket,
                           const detail::request_parser& parser,
                           const detail::beast::error_code& error);
    detail::beast::error_code receive_body(http_socket& socket, detail::request_parser& parser);
    void turn_away(http_socket& socket);
    bool send(http_socket& socket, const verdict& refusal, bool keep_alive);
    bool wait_until(core::instant end, bool close_idle);
};

void caller_server::state::accept_next(const std::shared_ptr<state>& self)
{
    auto socket = std::make_shared<http_socket>();
    this->acceptor.async_accept(socket->stream().socket(),
                                [self, socket](const detail::beast::error_code& error) {
                                    if (error == detail::asio::error::operation_aborted) {
                                        return;
                                    }
                                    if (!error) {
                                        self->admit(self, socket);
                                    }
                                    self->accept_next(self);
                                });
}

/// Gives a new connection its thread, or turns it away when there are too many.
void caller_server::state::admit(const std::shared_ptr<state>& self,
                                 const std::shared_ptr<http_socket>& socket)
{
    const std::lock_guard lock(this->mutex);
    const auto bound = this->relay.options.connections;
    if (this->connections.size() >= bound) {
        this->close_longest_idle();
    }
    if (this->connections.size() >= bound + turned_away_at_once) {
        ++this->relay.counters.turned_away;
        return;
    }
    const bool full = this->connections.size() >= bound;
    this->connections.insert(socket.get());
    ++this->relay.counters.connections;
    std::thread([self, socket, full] {
        if (full) {
            self->turn_away(*socket);
        } else {
            self->serve(*socket);
        }
        const std::lock_guard guard(self->mutex);
        self->connections.erase(socket.get());
        --self->relay.counters.connections;
        self->ended.notify_all();
    }).detach();
}

/// Makes room for a new connection. The lock is held.
void caller_server::state::close_longest_idle()
{
    const auto longest = std::min_element(this->idle.begin(),
                                          this->idle.end(),
                                          [](const auto& a, const auto& b) { return a.second < b.second; });
    if (longest != this->idle.end()) {
        ::shutdown(longest->first->descriptor(), SHUT_RD);
        this->idle.erase(longest);
    }
}

void caller_server::state::turn_away(http_socket& socket)
{
    ++this->relay.counters.turned_away;
    detail::request_parser parser;
    parser.header_limit(this->relay.options.header_bytes);
    if (!socket.receive(parser, true, turned_away_limit)) {
        this->send(socket,
                   verdict::not_run(failure::queue_full,
                                    "this instance has " + std::to_string(this->relay.options.connections) +
                                        " connections already"),
                   false);
    }
    socket.close_gently(linger);
}

void caller_server::state::serve(http_socket& socket)
{
    detail::beast::error_code ignored;
    socket.stream().socket().set_option(tcp::no_delay(true), ignored);
    while (this->serve_request(socket)) {
    }
    socket.close();
}

bool caller_server::state::serve_request(http_socket& socket)
{
    const auto& options = this->relay.options;
    detail::request_parser parser;
    parser.header_limit(options.header_bytes);
    parser.body_limit(options.body_bytes);
    {
        const std::lock_guard lock(this->mutex);
        this->idle.emplace(&socket, clock::now());
    }
    auto error = socket.receive(parser, true, options.idle_timeout);
    const auto arrived = clock::now();
    {
        const std::lock_guard lock(this->mutex);
        this->idle.erase(&socket);
    }
    if (error) {
        return this->refuse_unreadable(socket, parser, error);
    }
    this->relay.note_request();
    if (const auto refusal = detail::refuse_early(this->relay, parser.get().base())) {
        return this->refuse_unread(socket, parser, *refusal);
    }
    if (detail::beast::iequals(parser.get()[detail::http::field::expect], "100-continue")) {
        constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        error = socket.write_raw(detail::asio::buffer(go_on.data(), go_on.size()), options.caller_timeout);
    }
    if (!error) {
        error = this->receive_body(socket, parser);
    }
    if (error) {
        return this->refuse_unreadable(socket, parser, error);
    }
    const auto id = this->id_prefix + std::to_string(++this->requests);
    return detail::relay_request(socket, parser.get(), id, arrived, this->relay);
}

/// Reads the body; a shutdown that has reached its limit ends it.
detail::beast::error_code caller_server::state::receive_body(http_socket& socket,
                                                             detail::request_parser& parser)
{
    {
        const std::lock_guard lock(this->mutex);
        this->receiving.insert(&socket);
    }
    const auto error = socket.receive(parser, false, this->relay.options.caller_timeout);
    const std::lock_guard lock(this->mutex);
    this->receiving.erase(&socket);
    return error;
}

bool caller_server::state::send(http_socket& socket, const verdict& refusal, bool keep_alive)
{
    this->relay.counters.count_outcome(refusal);
    telemetry::write(telemetry::log_event{"request_refused"}
                         .with("reason", core::to_string(refusal.reason))
                         .with("verdict", core::to_string(refusal.state))
                         .with("detail", refusal.detail));
    return detail::send_refusal(
        socket, refusal, {.keep_alive = keep_alive, .timeout = this->relay.options.caller_timeout});
}

/// Refuses a request whose body was not read; a small one is read and dropped to keep the connection.
bool caller_server::state::refuse_unread(http_socket& socket,
                                         detail::request_parser& parser,
                                         const verdict& refusal)
{
    const auto length = parser.content_length();
    const bool small = !parser.chunked() && length.value_or(0) <= dropped_body_bytes &&
                       parser.get()[detail::http::field::expect].empty();
    const bool keep = small && parser.get().keep_alive() && !this->relay.leaving();
    if (keep && !this->receive_body(socket, parser)) {
        return this->send(socket, refusal, true);
    }
    this->send(socket, refusal, false);
    socket.close_gently(linger);
    return false;
}

/// Answers a request that could not be read, where that is possible.
bool caller_server::state::refuse_unreadable(http_socket& socket,
                                             const detail::request_parser& parser,
                                             const detail::beast::error_code& error)
{
    if (const auto refusal = describe_unreadable(parser, error, this->relay.leaving())) {
        this->send(socket, *refusal, false);
        socket.close_gently(linger);
    }
    return false;
}

/// Waits until no connection is left.
/// @returns Whether that came before the end.
bool caller_server::state::wait_until(core::instant end, bool close_idle)
{
    std::unique_lock lock(this->mutex);
    while (!this->connections.empty() && clock::now() < end) {
        if (close_idle) {
            for (const auto& [socket, since] : this->idle) {
                ::shutdown(socket->descriptor(), SHUT_RD);
            }
        }
        this->ended.wait_for(lock, stop_poll);
    }
    return this->connections.empty();
}

caller_server::caller_server(const caller_server_options& options, traffic_ports ports)
    : shared(std::make_shared<state>(options, std::move(ports)))
{
}

caller_server::~caller_server()
{
    this->stop(core::duration::zero());
}

std::optional<std::string> caller_server::start()
{
    auto& state = *this->shared;
    if (sodium_init() < 0) {
        return "libsodium cannot be initialised";
    }
    const auto& listen = state.relay.options.listen;
    detail::beast::error_code error;
    const auto host = detail::asio::ip::make_address(listen.host, error);
    if (!error) {
        state.acceptor.open(tcp::v4(), error);
    }
    if (!error) {
        state.acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        state.acceptor.bind({host, listen.port}, error);
    }
    if (!error) {
        state.acceptor.listen(detail::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return "TCP " + core::to_string(listen) + ": " + error.message();
    }
    state.bound = state.acceptor.local_endpoint();
    state.accept_next(this->shared);
    state.accept_thread = std::thread([shared = this->shared] { shared->accept_context.run(); });
    return std::nullopt;
}

bool caller_server::stop(core::duration limit)
{
    auto& state = *this->shared;
    if (!state.accept_thread.joinable()) {
        return true;
    }
    const auto now = clock::now();
    const auto end = now + limit;
    state.relay.phase = closing_phase::closing;
    std::this_thread::sleep_for(std::min(state.relay.options.closing_grace, limit / closing_parts));
    detail::asio::post(state.accept_context, [shared = this->shared] { shared->acceptor.close(); });
    state.accept_thread.join();
    bool whole = state.wait_until(now + limit / 10 * late_tenths, true);
    if (!whole) {
        state.relay.phase = closing_phase::late;
        whole = state.wait_until(end - std::min<core::duration>(cutting_time, limit / closing_parts), true);
    }
    if (!whole) {
        state.relay.phase = closing_phase::cutting;
        state.wait_until(end, true);
        const std::lock_guard lock(state.mutex);
        for (auto* socket : state.receiving) {
            ::shutdown(socket->descriptor(), SHUT_RD);
        }
        for (auto* socket : state.connections) {
            socket->cancel_from_outside();
        }
    }
    state.wait_until(clock::now() + unwind_limit, true);
    state.relay.cancels.join();
    return whole;
}

core::address caller_server::address() const
{
    return {.host = this->shared->bound.address().to_string(), .port = this->shared->bound.port()};
}

const traffic_counters& caller_server::counters() const noexcept
{
    return this->shared->relay.counters;
}

} // namespace hibiscusfall::traffic
