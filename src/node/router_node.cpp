#include "hibiscusfall/node/router_node.hpp"

#include "claims_shell.hpp"
#include "configuration_shell.hpp"
#include "membership_shell.hpp"
#include "metrics_shell.hpp"
#include "node_parts.hpp"
#include "operator_shell.hpp"
#include "placement_shell.hpp"
#include "platform_list_shell.hpp"
#include "scheduling_shell.hpp"
#include "store_usage.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"
#include "hibiscusfall/telemetry/metrics_page.hpp"
#include "hibiscusfall/traffic/caller_server.hpp"

#include <utility>

namespace hibiscusfall::node
{

namespace
{

traffic::traffic_ports
make_ports(detail::node_core& parts, detail::scheduling_shell& scheduling, detail::claims_shell& claims)
{
    return {.configuration = [&parts] { return parts.configuration.current(); },
            .acquire =
                [&scheduling](const core::slot_request& request, const std::function<bool()>& abandoned) {
                    return scheduling.acquire(request, abandoned);
                },
            .progress =
                [&scheduling](std::uint64_t ticket, const core::run_progress& progress) {
                    scheduling.progress(ticket, progress);
                },
            .release = [&scheduling](std::uint64_t ticket,
                                     const core::slot_usage& usage) { scheduling.release(ticket, usage); },
            .claim = [&claims](const core::claim_request& request) { return claims.claim(request); },
            .settle = [&claims](std::uint64_t claim,
                                const core::claim_outcome& outcome) { claims.settle(claim, outcome); }};
}

constexpr double percent = 100.0;

traffic::caller_server_options make_server_options(const settings::router_settings& settings)
{
    return {.listen = settings.callers,
            .instance = settings.id,
            .header_bytes = settings.header_bytes,
            .body_bytes = settings.body_bytes,
            .connections = settings.connections,
            .default_deadline = settings.default_deadline,
            .caller_timeout = settings.caller_timeout,
            .endpoint_timeout = settings.endpoint_timeout,
            .connect_timeout = settings.connect_timeout,
            .connect_from = settings.connect_from,
            .queue_per_team = settings.queue_per_team,
            .queue_total = settings.queue_total,
            .retry_fraction = settings.retry_percent / percent,
            .hedge_fraction = settings.hedge_percent / percent};
}

} // namespace

struct router_node::parts {
    detail::node_core core;
    detail::store_usage store;
    detail::scheduling_shell scheduling;
    detail::claims_shell claims;
    detail::configuration_shell configuration;
    detail::placement_shell placement;
    detail::platform_list_shell platform_list;
    detail::operator_shell operators;
    traffic::caller_server callers;

    parts(const settings::router_settings& settings, start_options how)
        : core(settings, std::move(how)), scheduling(this->core),
          claims(this->core, detail::make_claim_store_ports(settings.store, this->store.claims)),
          configuration(this->core, this->store.configuration),
          placement(this->core, this->store.placement, detail::make_http_order_port()),
          platform_list(this->core), operators(this->core, this->configuration, this->scheduling),
          callers(make_server_options(settings), make_ports(this->core, this->scheduling, this->claims))
    {
    }

    void add_metrics_page()
    {
        this->operators.http().route("/metrics", [this](const operators::operator_call& /*call*/) {
            return operators::operator_reply{
                .content_type = std::string{telemetry::metrics_page::content_type},
                .body = detail::write_metrics({.parts = this->core,
                                               .scheduling = this->scheduling,
                                               .claims = this->claims,
                                               .store = this->store,
                                               .traffic = this->callers.counters()})};
        });
    }
};

router_node::router_node(const settings::router_settings& settings, start_options how)
    : all(std::make_unique<parts>(settings, std::move(how)))
{
}

router_node::~router_node() = default;

std::optional<std::string> router_node::start()
{
    const auto now = std::chrono::steady_clock::now();
    detail::start_membership(this->all->core, now);
    this->all->scheduling.start(now);
    this->all->claims.start(now);
    if (auto problem = this->all->core.hub.start()) {
        return problem;
    }
    this->all->configuration.start(now);
    this->all->placement.start(now);
    this->all->platform_list.start(now);
    this->all->core.loop.start();
    this->all->add_metrics_page();
    if (auto problem = this->all->operators.start(now)) {
        return problem;
    }
    if (auto problem = this->all->callers.start()) {
        return problem;
    }
    telemetry::write(telemetry::log_event{"started"}
                         .with("failure_domain", this->all->core.settings.domain.view())
                         .with("incarnation", this->all->core.self.incarnation));
    return std::nullopt;
}

bool router_node::shut_down()
{
    telemetry::write(telemetry::log_event{"leaving"});
    this->all->core.loop.ask([this] { detail::announce_leaving(this->all->core); });
    const bool whole = this->all->callers.stop(this->all->core.settings.shutdown_limit);
    this->all->claims.stop();
    this->all->operators.stop();
    this->all->platform_list.stop();
    this->all->placement.stop();
    this->all->configuration.stop();
    this->all->core.loop.stop();
    this->all->core.hub.stop();
    telemetry::write(telemetry::log_event{"stopped"}.with("whole", whole));
    return whole;
}

} // namespace hibiscusfall::node
