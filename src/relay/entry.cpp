#include "hibiscusfall/relay/entry.hpp"

#include "caller_session.hpp"
#include "endpoint_link.hpp"
#include "listening.hpp"
#include "page_server.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace hibiscusfall::relay
{

namespace
{

using detail::error_code;
using detail::tcp;
using std::chrono::milliseconds;

constexpr core::duration sweep_interval = milliseconds{25};
/// After an order to stop, new connections still come until the balancer has asked twice, once a second.
constexpr core::duration still_accepting = milliseconds{2600};
/// The process ends by itself this much before it would be killed.
constexpr core::duration end_margin = milliseconds{250};
constexpr core::duration accept_pause = milliseconds{20};
/// Connections that are taken in one turn of the loop at most, so that answers under way go on.
constexpr int most_accepts = 32;

} // namespace

struct entry::listeners {
    tcp::acceptor callers;
};

entry::entry(event_loop& loop_in_use, const dialect& speech, entry_options settings)
    : loop(loop_in_use), speak(speech), options(std::move(settings)),
      links(std::make_unique<detail::link_pool>(loop_in_use))
{
    this->book.own_domain = this->options.domain;
    this->book.shares.window = this->options.share_window;
    this->book.shares.step_begun = event_loop::now();
}

entry::~entry() = default;

void entry::use(std::shared_ptr<const catalog::route_table> newest)
{
    if (this->table && newest->version < this->table->version) {
        return;
    }
    this->table = std::move(newest);
    this->book.shares.tokens_per_second = this->table->limits.tokens_per_second;
    dispatch::update_endpoints(this->book, this->endpoints, *this->table, this->instances);
}

void entry::use(const catalog::endpoint_list& newest)
{
    this->endpoints = newest;
    this->endpoints_known = true;
    static const catalog::route_table none;
    dispatch::update_endpoints(
        this->book, this->endpoints, this->table ? *this->table : none, this->instances);
    for (const auto& state : this->book.endpoints) {
        if (!state.listed) {
            this->links->drop_idle(state.tag);
        }
    }
}

void entry::set_instances(std::uint32_t count)
{
    if (count != this->instances && this->table) {
        this->instances = count;
        dispatch::update_endpoints(this->book, this->endpoints, *this->table, count);
    }
    this->instances = count;
}

bool entry::ready() const noexcept
{
    return this->table && this->endpoints_known && !this->leaving && !this->load.overloaded;
}

void entry::listen()
{
    this->listening =
        std::make_unique<listeners>(listeners{detail::open_listener(this->loop, this->options.callers)});
    this->listening->callers.non_blocking(true);
    asio::co_spawn(this->loop.context(), this->accept_callers(), asio::detached);
    detail::serve_pages(this->loop, this->options.readiness, [this] {
        constexpr unsigned not_ready = 503;
        return detail::page{.status = this->ready() ? 200U : not_ready, .body = {}};
    });
    if (this->options.metrics) {
        detail::serve_pages(this->loop, this->options.metrics, [this] {
            return detail::page{.content_type = std::string{telemetry::metrics_page::content_type},
                                .body = this->metrics_text()};
        });
    }
    this->last_sweep = event_loop::now();
    this->loop.every(sweep_interval, [this](core::instant now) { this->sweep(now); });
    this->loop.every(milliseconds{100},
                     [this](core::instant now) { dispatch::advance(this->book.shares, now); });
    this->loop.every(milliseconds{1000}, [this](core::instant now) {
        dispatch::tidy(this->book, now);
        dispatch::adjust(this->spare);
        this->book.shares.spare_factor = this->spare.factor;
    });
}

void entry::leave(std::function<void()> when_done)
{
    if (this->leaving) {
        return;
    }
    this->leaving = true;
    this->left_at = event_loop::now();
    this->done = std::move(when_done);
}

void entry::reload(const entry_options& changed)
{
    this->options.policy = changed.policy;
    this->options.repeats = changed.repeats;
    this->options.share_window = changed.share_window;
    this->options.stop_limit = changed.stop_limit;
    this->book.shares.window = changed.share_window;
}

bool entry::too_late_for_streams(core::instant now) const noexcept
{
    return this->leaving && now - this->left_at >= still_accepting;
}

bool entry::ends_before(core::instant limit) const noexcept
{
    return this->leaving && this->left_at + this->options.stop_limit - end_margin < limit;
}

void entry::note_lag(core::instant now)
{
    const auto due = this->last_sweep + until_next(sweep_interval, this->last_sweep);
    this->last_sweep = now;
    const bool changed =
        relay::note_lag(this->load, std::max(core::elapsed(due, now), core::duration::zero()), now);
    this->book.view_delay = view_delay(this->load);
    if (!changed) {
        return;
    }
    telemetry::write(telemetry::log_event{this->load.overloaded ? "overloaded" : "overload_over"}
                         .with("lag_ms", static_cast<std::int64_t>(this->load.lag_ms))
                         .with("sessions", this->sessions->size()));
}

void entry::sweep(core::instant now)
{
    this->note_lag(now);
    this->links->sweep(now);
    bool busy = false;
    const bool closing = this->leaving && now - this->left_at >= still_accepting;
    for (const auto& [raw, weak] : *this->sessions) {
        if (const auto session = weak.lock()) {
            session->sweep(now);
            busy = busy || !session->idle(now);
        }
    }
    if (!closing) {
        return;
    }
    for (const auto& [raw, weak] : *this->sessions) {
        if (const auto session = weak.lock()) {
            session->close_if_idle(now);
        }
    }
    const bool forced = now - this->left_at >= this->options.stop_limit - end_margin;
    if (this->done && (!busy || forced)) {
        const auto finish = std::exchange(this->done, nullptr);
        telemetry::write(
            telemetry::log_event{"drained"}.with("forced", forced).with("sessions", this->sessions->size()));
        finish();
    }
}

asio::awaitable<void> entry::accept_callers()
{
    while (true) {
        error_code error;
        tcp::socket socket{this->loop.context()};
        co_await this->listening->callers.async_accept(socket,
                                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            telemetry::write_error(telemetry::log_event{"accept_failed"}.with("reason", error.message()));
            co_await this->loop.sleep(accept_pause);
            continue;
        }
        this->begin_session(std::move(socket));
        this->take_waiting_callers();
    }
}

void entry::take_waiting_callers()
{
    // On a busy loop one connection for each turn would leave the others to wait until their callers give up.
    for (int taken = 0; taken < most_accepts; ++taken) {
        error_code error;
        tcp::socket socket{this->loop.context()};
        this->listening->callers.accept(socket, error);
        if (error) {
            return; // none waits, or the next turn tells why
        }
        this->begin_session(std::move(socket));
    }
}

void entry::begin_session(tcp::socket accepted)
{
    ++this->counters.connections;
    error_code ignored;
    accepted.set_option(tcp::no_delay{true}, ignored);
    const auto session = std::make_shared<detail::caller_session>(*this, std::move(accepted));
    if (session->look_if_gone()) {
        return; // its caller gave up while it waited to be taken
    }
    this->sessions->emplace(session.get(), session);
    asio::co_spawn(
        this->loop.context(), [session] { return session->run(); }, asio::detached);
}

} // namespace hibiscusfall::relay
