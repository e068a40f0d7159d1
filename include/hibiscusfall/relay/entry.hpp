#pragma once

#include "hibiscusfall/catalog/endpoint_list.hpp"
#include "hibiscusfall/catalog/route_table.hpp"
#include "hibiscusfall/dispatch/caller_waits.hpp"
#include "hibiscusfall/dispatch/fleet_book.hpp"
#include "hibiscusfall/dispatch/output_lengths.hpp"
#include "hibiscusfall/dispatch/spare_control.hpp"
#include "hibiscusfall/relay/dialect.hpp"
#include "hibiscusfall/relay/entry_options.hpp"
#include "hibiscusfall/relay/event_loop.hpp"
#include "hibiscusfall/relay/loop_load.hpp"
#include "hibiscusfall/telemetry/latency_recorder.hpp"
#include "hibiscusfall/telemetry/metrics_page.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::relay
{

namespace detail
{
class link_pool;
class caller_session;
} // namespace detail

/// @brief The open connections of callers. Shared, as a connection may outlive its entry until the loop ends.
using session_registry = std::map<detail::caller_session*, std::weak_ptr<detail::caller_session>>;

/// @brief What one instance placed itself, for the reports to its peers.
struct own_work {
    std::unordered_map<dispatch::team_tag, std::pair<double, double>> teams; ///< Asked and given, totals.
    std::vector<std::pair<std::uint64_t, dispatch::endpoint_tag>> parts;     ///< Since the last report.
    std::vector<dispatch::endpoint_tag> departures; ///< Endpoints that said to this one that they leave.
};

/// @brief Takes callers' requests and relays them to endpoints, on one event loop.
///
/// @code
/// event_loop loop;
/// entry front{loop, plain_dialect(), {.callers = {"127.0.0.1", 8080}, .readiness = {"127.0.0.1", 8081}}};
/// front.use(table);
/// front.use(endpoints);
/// front.listen();
/// loop.run();
/// @endcode
class entry
{
public:
    entry(event_loop& loop_in_use, const dialect& speech, entry_options settings);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;

    /// @name What it knows
    void use(std::shared_ptr<const catalog::route_table> newest);
    void use(const catalog::endpoint_list& newest);

    /// @brief Over how many instances connections and budgets are divided, this one included.
    void set_instances(std::uint32_t count);

    /// @brief Whether the configuration may be older than its bound, so that what it does not name may exist.
    void set_outdated(bool value) noexcept { this->outdated = value; }

    /// @name Running
    /// @brief Opens the listening sockets.
    /// @throws boost::system::system_error When an address cannot be bound.
    void listen();

    /// @brief Takes over changed settings: policy, budgets, shares and limits. Addresses stay.
    void reload(const entry_options& changed);

    /// @brief Whether a stream that begins now may be cut by this instance's end.
    [[nodiscard]] bool too_late_for_streams(core::instant now) const noexcept;

    /// @brief Whether a request that may take until @p limit could be cut by this instance's end.
    [[nodiscard]] bool ends_before(core::instant limit) const noexcept;

    /// @brief Stops taking callers; calls back once all have their answers, or shortly before the limit.
    void leave(std::function<void()> when_done);

    [[nodiscard]] bool ready() const noexcept;

    /// @brief Adds samples to the metrics page; called for each request of it.
    void add_metrics(std::function<void(telemetry::metrics_page&)> more);

    /// @brief The metrics page as it is now.
    [[nodiscard]] std::string metrics_text() const;

    /// @name State shared by the parts of the relay
    event_loop& loop;
    const dialect speak;
    entry_options options;
    std::shared_ptr<const catalog::route_table> table;
    dispatch::fleet_book book;
    std::map<core::service_id, dispatch::repeat_budget> budgets;
    dispatch::output_lengths lengths;
    dispatch::caller_waits waits;
    dispatch::spare_control spare;
    std::unique_ptr<detail::link_pool> links;
    own_work work;
    entry_counters counters;
    telemetry::latency_recorder first_bytes;  ///< From sending a generation to its first event.
    telemetry::latency_recorder early_starts; ///< By how much first events came before the prediction.
    telemetry::latency_recorder late_starts;  ///< By how much they came after it.
    std::shared_ptr<session_registry> sessions = std::make_shared<session_registry>();
    std::uint32_t instances = 1;
    bool endpoints_known = false;
    bool outdated = false;
    loop_load load;
    bool leaving = false;
    core::instant left_at{};

private:
    void sweep(core::instant now);
    void note_lag(core::instant now);
    void take_waiting_callers();
    void begin_session(asio::ip::tcp::socket accepted);
    asio::awaitable<void> accept_callers();

    struct listeners;
    std::unique_ptr<listeners> listening;
    catalog::endpoint_list endpoints;
    core::instant last_sweep{};
    std::function<void()> done;
    std::vector<std::function<void(telemetry::metrics_page&)>> more_metrics;
};

} // namespace hibiscusfall::relay
