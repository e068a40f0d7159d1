#pragma once

#include "hibiscusfall/catalog/endpoint_list.hpp"
#include "hibiscusfall/catalog/evacuations.hpp"
#include "hibiscusfall/catalog/route_table.hpp"
#include "hibiscusfall/dispatch/caller_waits.hpp"
#include "hibiscusfall/dispatch/fleet_state.hpp"
#include "hibiscusfall/dispatch/output_lengths.hpp"
#include "hibiscusfall/dispatch/overcommit_control.hpp"
#include "hibiscusfall/dispatch/second_sends.hpp"
#include "hibiscusfall/relay/buffer_budget.hpp"
#include "hibiscusfall/relay/connection_limits.hpp"
#include "hibiscusfall/relay/dialect.hpp"
#include "hibiscusfall/relay/event_loop.hpp"
#include "hibiscusfall/relay/loop_load.hpp"
#include "hibiscusfall/relay/origin_lookup.hpp"
#include "hibiscusfall/relay/relay_options.hpp"
#include "hibiscusfall/relay/shutdown_schedule.hpp"
#include "hibiscusfall/telemetry/latency_recorder.hpp"
#include "hibiscusfall/telemetry/metrics_page.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::relay
{

namespace detail
{
class connection_pool;
class caller_session;
class endpoint_checks;
struct crash_watch;
} // namespace detail

/// @brief Open caller connections. Shared, since a session may outlive its server until the loop ends.
using session_registry = std::map<detail::caller_session*, std::weak_ptr<detail::caller_session>>;

/// @brief Placements and observations of this instance, for the reports to its peers.
struct local_activity {
    std::unordered_map<dispatch::team_tag, std::pair<double, double>>
        teams;                                                           ///< Total cost: requested, granted.
    std::vector<std::pair<std::uint64_t, dispatch::endpoint_tag>> parts; ///< Placed since the last report.
    std::vector<dispatch::endpoint_tag> leaving_endpoints;               ///< Announced to this instance.
    std::vector<dispatch::crash_suspect> crash_suspects;                 ///< Found since the last report.
    std::vector<std::pair<std::uint64_t, core::instant>>
        exonerated_traits; ///< Found since the last report, with the time of the answer.
    std::vector<dispatch::crash_cause> tried_causes; ///< Of which a trial was sent since the last report.
};

/// @brief HTTP server that relays callers' requests to endpoints, on one event loop.
///
/// @code
/// event_loop loop;
/// relay_server server{loop, plain_dialect(), {.caller_address = {"127.0.0.1", 8080},
///                                            .readiness_address = {"127.0.0.1", 8081}}};
/// server.update(table);
/// server.update(endpoints);
/// server.listen();
/// loop.run();
/// @endcode
class relay_server
{
public:
    relay_server(event_loop& loop_in_use, const dialect& chosen_dialect, relay_options settings);
    ~relay_server();
    relay_server(const relay_server&) = delete;
    relay_server& operator=(const relay_server&) = delete;

    /// @name Configuration
    void update(std::shared_ptr<const catalog::route_table> newest);
    void update(const catalog::endpoint_list& newest);
    void update(const catalog::evacuations& newest);

    /// @brief Sets the number of instances, this one included, that connections and budgets are divided by.
    void set_instance_count(std::uint32_t count);

    /// @brief Sets whether the configuration may be older than its bound. Routes and teams missing from an
    /// outdated configuration may exist.
    void set_configuration_outdated(bool value) noexcept { this->configuration_outdated = value; }

    /// @name Running
    /// @brief Opens the listening sockets.
    /// @throws boost::system::system_error When an address cannot be bound.
    void listen();

    /// @brief The port on which callers are accepted. If the settings leave it to the system, it is known
    /// once
    /// @c listen has returned.
    [[nodiscard]] std::uint16_t caller_port() const;

    /// @brief Applies changed settings: policy, budgets, shares and limits. Addresses do not change.
    void reload(const relay_options& changed);

    /// @brief Sets where origins of streams are found that this instance does not know. Then streams that may
    /// be taken up begin only at versions that are registered.
    void set_origin_lookup(origin_lookup lookup);

    /// @brief Where a stream of the service began, by the endpoint list alone.
    [[nodiscard]] origin_reading origin_without_store(const core::service_id& service) const;

    /// @brief Puts changed versions at which streams may begin into effect.
    void apply_stream_versions();

    /// @brief Puts changed causes of crashes into effect, after a peer has reported on them.
    void apply_cause_changes();

    /// @brief The planned stop in progress; nothing while there is none.
    [[nodiscard]] std::optional<shutdown_schedule> current_shutdown() const noexcept;

    /// @brief Stops accepting callers. Calls back when all requests are answered, or shortly before the
    /// timeout. Requests that have no answer by then get a final one from this instance.
    void shut_down(std::function<void()> when_done);

    [[nodiscard]] bool ready() const noexcept;

    /// @brief Descriptors that connections use now.
    [[nodiscard]] descriptor_use descriptors() const noexcept;

    /// @brief Registers a function that adds samples each time the metrics page is requested.
    void add_metrics_source(std::function<void(telemetry::metrics_page&)> more);

    /// @brief The current metrics page.
    [[nodiscard]] std::string metrics_text() const;

    /// @name State shared by the components of the relay
    event_loop& loop;
    const dialect http_dialect;
    relay_options options;
    std::shared_ptr<const catalog::route_table> table;
    dispatch::fleet_state fleet;
    std::map<core::service_id, dispatch::repeat_budget> budgets;
    dispatch::second_sends second_sends;
    dispatch::stream_origins origins;
    origin_lookup find_origin; ///< Empty if nothing else knows origins.
    dispatch::output_lengths lengths;
    dispatch::caller_waits waits;
    dispatch::overcommit_control spare;
    /// Shared, since sessions and connections may outlive the server until the loop ends.
    std::shared_ptr<buffer_budget> buffers = std::make_shared<buffer_budget>();
    std::unique_ptr<detail::connection_pool> connections;
    std::unique_ptr<detail::endpoint_checks> checks;
    std::unique_ptr<detail::crash_watch> crashes;
    local_activity activity;
    relay_counters counters;
    telemetry::latency_recorder first_event_latency; ///< From sending a request to its first event.
    telemetry::latency_recorder early_first_events; ///< How much earlier than predicted first events arrived.
    telemetry::latency_recorder late_first_events;  ///< How much later than predicted first events arrived.
    std::shared_ptr<session_registry> sessions = std::make_shared<session_registry>();
    std::uint32_t instance_count = 1;
    bool endpoints_known = false;
    bool configuration_outdated = false;
    loop_load load;
    core::instant last_successor_search{}; ///< When the next attempt of a waiting request was last placed.
    bool shutting_down = false;
    core::instant shutdown_started{}; ///< Earliest time at which the stop can have been requested.

private:
    void sweep_shutdown(core::instant now);
    void sweep(core::instant now);
    void close_longest_idle(core::instant now);
    void record_lag(core::instant now);
    void accept_pending_connections();
    void start_session(asio::ip::tcp::socket accepted);
    asio::awaitable<void> accept_callers();

    struct listeners;
    std::unique_ptr<listeners> acceptors;
    catalog::endpoint_list endpoints;
    core::instant last_sweep{};
    core::instant sweep_before_last{};
    std::function<void()> shutdown_callback;
    std::vector<std::function<void(telemetry::metrics_page&)>> metrics_sources;
};

} // namespace hibiscusfall::relay
