#include "hibiscusfall/relay/relay_server.hpp"

#include "caller_session.hpp"
#include "crash_watch.hpp"
#include "endpoint_checks.hpp"
#include "endpoint_connection.hpp"
#include "explanation_page.hpp"
#include "listener.hpp"
#include "page_server.hpp"

#include "hibiscusfall/dispatch/record_need.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/co_spawn.hpp>
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
/// Time between the trials of two instances with segments that have crashed engines: longer than it takes
/// until all know the result.
constexpr core::duration trial_interval = std::chrono::seconds{1};
constexpr core::duration accept_pause = milliseconds{20};
/// Limit of connections accepted per loop iteration, so that responses in progress are not delayed.
constexpr int max_accepts_per_iteration = 32;

} // namespace

struct relay_server::listeners {
    tcp::acceptor callers;
};

relay_server::relay_server(event_loop& loop_in_use, const dialect& chosen_dialect, relay_options settings)
    : loop(loop_in_use), http_dialect(chosen_dialect), options(std::move(settings)),
      connections(std::make_unique<detail::connection_pool>(loop_in_use, this->buffers)),
      checks(std::make_unique<detail::endpoint_checks>(*this)),
      crashes(std::make_unique<detail::crash_watch>())
{
    this->buffers->limit = this->options.buffer_bytes;
    this->fleet.own_domain = this->options.domain;
    this->fleet.own_instance = this->options.instance;
    this->fleet.regions = this->options.regions;
    this->fleet.cold.limits = this->options.cold;
    this->fleet.cold.started_at = event_loop::now();
    this->fleet.shares.window = this->options.share_window;
    this->fleet.shares.bucket_start = event_loop::now();
}

relay_server::~relay_server() = default;

void relay_server::update(std::shared_ptr<const catalog::route_table> newest)
{
    if (this->table && newest->version < this->table->version) {
        return;
    }
    this->table = std::move(newest);
    this->fleet.shares.tokens_per_second = this->table->limits.tokens_per_second;
    dispatch::update_endpoints(this->fleet, this->endpoints, *this->table, this->instance_count);
    dispatch::apply_cold_statements(this->fleet, event_loop::now());
    this->apply_stream_versions();
}

void relay_server::update(const catalog::endpoint_list& newest)
{
    this->endpoints = newest;
    this->endpoints_known = true;
    static const catalog::route_table none;
    dispatch::update_endpoints(
        this->fleet, this->endpoints, this->table ? *this->table : none, this->instance_count);
    dispatch::apply_cold_statements(this->fleet, event_loop::now());
    (void)dispatch::update_versions(this->origins, this->endpoints);
    this->apply_stream_versions();
    for (const auto& state : this->fleet.endpoints) {
        if (!state.listed) {
            this->connections->close_idle(state.tag);
        }
    }
}

void relay_server::update(const catalog::evacuations& newest)
{
    const auto log_change = [&newest](const core::failure_domain_id& domain, std::string_view state) {
        telemetry::write(telemetry::log_event{"evacuation"}
                             .with("domain", domain.view())
                             .with("state", state)
                             .with("revision", newest.position.revision));
    };
    const auto before = std::exchange(this->fleet.evacuated, newest.domains);
    for (const auto& domain : before) {
        if (!newest.domains.contains(domain)) {
            dispatch::presume_domain_cold(this->fleet, domain, event_loop::now());
            log_change(domain, "ended");
        }
    }
    for (const auto& domain : newest.domains) {
        if (!before.contains(domain)) {
            log_change(domain, "begun");
        }
    }
    for (const auto& state : this->fleet.endpoints) {
        if (newest.domains.contains(state.entry.domain)) {
            this->connections->close_idle(state.tag);
        }
    }
}

void relay_server::set_origin_lookup(origin_lookup lookup)
{
    this->find_origin = std::move(lookup);
    this->apply_stream_versions();
}

origin_reading relay_server::origin_without_store(const core::service_id& service) const
{
    const auto found = this->origins.services.find(service);
    if (found == this->origins.services.end() || found->second.listed.empty()) {
        return {.state = origin_state::unavailable};
    }
    if (dispatch::is_mixed(this->origins, service)) {
        return {.state = origin_state::unknown};
    }
    return {.state = origin_state::known, .version = found->second.listed.front()};
}

void relay_server::apply_stream_versions()
{
    for (auto& state : this->fleet.endpoints) {
        state.begins_streams =
            !this->find_origin ||
            dispatch::may_begin(this->origins, state.entry.service, state.software_version);
        state.deprioritized =
            this->find_origin &&
            dispatch::is_deprioritized(this->origins, state.entry.service, state.software_version);
    }
}

void relay_server::set_instance_count(std::uint32_t count)
{
    if (count != this->instance_count && this->table) {
        this->instance_count = count;
        dispatch::update_endpoints(this->fleet, this->endpoints, *this->table, count);
        this->apply_stream_versions();
    }
    this->instance_count = count;
    this->fleet.crashes.trial_offset =
        trial_interval * static_cast<std::int64_t>(dispatch::rank_of(this->options.instance, count));
}

void relay_server::apply_cause_changes()
{
    detail::apply_cause_changes(*this);
}

descriptor_use relay_server::descriptors() const noexcept
{
    return {.available = this->options.descriptors,
            .callers = this->sessions->size(),
            .endpoints = this->connections->open_count()};
}

bool relay_server::ready() const noexcept
{
    return this->table && this->endpoints_known && !this->shutting_down && !this->load.overloaded;
}

void relay_server::listen()
{
    this->acceptors = std::make_unique<listeners>(
        listeners{detail::open_listener(this->loop, this->options.caller_address)});
    this->acceptors->callers.non_blocking(true);
    this->loop.keep_running("accept_callers", [this] { return this->accept_callers(); });
    detail::serve_pages(this->loop, this->options.readiness_address, [this](std::string_view) {
        constexpr unsigned not_ready = 503;
        return detail::page{.status = this->ready() ? 200U : not_ready, .body = {}};
    });
    if (this->options.metrics_address) {
        detail::serve_pages(this->loop, this->options.metrics_address, [this](std::string_view target) {
            if (const auto query = detail::explanation_query(target)) {
                return detail::explanation_page(*this, *query);
            }
            return detail::page{.content_type = std::string{telemetry::metrics_page::content_type},
                                .body = this->metrics_text()};
        });
    }
    this->last_sweep = event_loop::now();
    this->sweep_before_last = this->last_sweep;
    this->loop.every(sweep_interval, [this](core::instant now) { this->sweep(now); });
    this->loop.every(milliseconds{100},
                     [this](core::instant now) { dispatch::advance(this->fleet.shares, now); });
    this->loop.every(milliseconds{1000}, [this](core::instant now) {
        dispatch::run_maintenance(this->fleet, now);
        this->apply_cause_changes();
        dispatch::adjust_factor(this->spare);
        this->fleet.shares.overcommit_factor = this->spare.factor;
    });
}

std::uint16_t relay_server::caller_port() const
{
    return this->acceptors ? this->acceptors->callers.local_endpoint().port()
                           : this->options.caller_address.port;
}

void relay_server::shut_down(std::function<void()> when_done)
{
    if (this->shutting_down) {
        return;
    }
    this->shutting_down = true;
    // A loop behind its work sees a stop request late; the one before its last sweep would have been seen.
    this->shutdown_started = this->acceptors ? this->sweep_before_last : event_loop::now();
    this->shutdown_callback = std::move(when_done);
}

void relay_server::reload(const relay_options& changed)
{
    this->options.policy = changed.policy;
    this->options.retries = changed.retries;
    this->options.share_window = changed.share_window;
    this->options.shutdown_timeout = changed.shutdown_timeout;
    this->options.buffer_bytes = changed.buffer_bytes;
    this->options.descriptors = changed.descriptors;
    this->options.cold = changed.cold;
    this->fleet.cold.limits = changed.cold;
    this->options.regions = changed.regions;
    this->fleet.regions = changed.regions;
    this->options.second_send_limit = changed.second_send_limit;
    this->buffers->limit = changed.buffer_bytes;
    this->fleet.shares.window = changed.share_window;
}

std::optional<shutdown_schedule> relay_server::current_shutdown() const noexcept
{
    if (!this->shutting_down) {
        return std::nullopt;
    }
    const auto lag_us = static_cast<core::duration::rep>(this->load.peak_lag_ms * 1000.0);
    return shutdown_schedule{.requested = this->shutdown_started,
                             .timeout = this->options.shutdown_timeout,
                             .loop_lag = core::duration{lag_us}};
}

void relay_server::record_lag(core::instant now)
{
    const auto due = this->last_sweep + time_to_next_tick(sweep_interval, this->last_sweep);
    this->sweep_before_last = this->last_sweep;
    this->last_sweep = now;
    const bool changed =
        relay::record_lag(this->load, std::max(core::elapsed(due, now), core::duration::zero()), now);
    this->fleet.observation_delay = observation_delay(this->load);
    if (!changed) {
        return;
    }
    telemetry::write(telemetry::log_event{this->load.overloaded ? "overloaded" : "overload_over"}
                         .with("lag_ms", static_cast<std::int64_t>(this->load.lag_ms))
                         .with("sessions", this->sessions->size()));
}

void relay_server::sweep(core::instant now)
{
    this->record_lag(now);
    this->connections->sweep(now);
    for (const auto& [raw, weak] : *this->sessions) {
        if (const auto session = weak.lock()) {
            session->sweep(now);
        }
    }
    this->close_longest_idle(now);
    if (this->shutting_down) {
        this->sweep_shutdown(now);
    }
}

void relay_server::close_longest_idle(core::instant now)
{
    auto excess = idle_connections_to_close(this->descriptors());
    if (excess == 0) {
        return;
    }
    std::vector<std::shared_ptr<detail::caller_session>> waiting;
    for (const auto& [raw, weak] : *this->sessions) {
        auto session = weak.lock();
        if (session && session->is_closing()) {
            excess -= std::min<std::size_t>(excess, 1);
        } else if (session && session->waits_for_request(now)) {
            waiting.push_back(std::move(session));
        }
    }
    std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
        return a->idle_since() < b->idle_since();
    });
    for (const auto& session : waiting) {
        if (excess == 0) {
            break;
        }
        if (session->idle(now)) {
            session->close_idle();
            ++this->counters.closed_idle_connections;
            --excess;
        }
    }
}

void relay_server::sweep_shutdown(core::instant now)
{
    const auto stop = *this->current_shutdown();
    if (now < connections_until(stop)) {
        return;
    }
    const bool ending = now >= responses_until(stop);
    bool busy = false;
    for (const auto& [raw, weak] : *this->sessions) {
        const auto session = weak.lock();
        if (!session) {
            continue;
        }
        if (session->idle(now)) {
            session->close_idle();
            continue;
        }
        busy = true;
        if (ending) {
            session->end_request();
        }
    }
    const bool forced = now >= process_end(stop);
    if (this->shutdown_callback && (!busy || forced)) {
        const auto finish = std::exchange(this->shutdown_callback, nullptr);
        telemetry::write(
            telemetry::log_event{"drained"}.with("forced", forced).with("sessions", this->sessions->size()));
        finish();
    }
}

asio::awaitable<void> relay_server::accept_callers()
{
    while (true) {
        error_code error;
        tcp::socket socket{this->loop.context()};
        co_await this->acceptors->callers.async_accept(socket,
                                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            telemetry::write_error(telemetry::log_event{"accept_failed"}.with("reason", error.message()));
            co_await this->loop.sleep(accept_pause);
            continue;
        }
        this->start_session(std::move(socket));
        this->accept_pending_connections();
    }
}

void relay_server::accept_pending_connections()
{
    // With one connection per iteration of a busy loop, the others would wait until their callers give up.
    for (int taken = 0; taken < max_accepts_per_iteration; ++taken) {
        error_code error;
        tcp::socket socket{this->loop.context()};
        this->acceptors->callers.accept(socket, error);
        if (error) {
            return; // none is pending, or the next accept reports the error
        }
        this->start_session(std::move(socket));
    }
}

void relay_server::start_session(tcp::socket accepted)
{
    ++this->counters.connections;
    const bool refused = should_refuse_connection(this->descriptors());
    const auto session = std::make_shared<detail::caller_session>(*this, std::move(accepted));
    if (refused) {
        ++this->counters.refused_connections;
        session->refuse_next_request();
    }
    this->sessions->emplace(session.get(), session);
    asio::co_spawn(
        this->loop.context(), [session] { return session->run(); }, this->loop.log_failure("session"));
}

} // namespace hibiscusfall::relay
