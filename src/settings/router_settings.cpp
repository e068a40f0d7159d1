#include "hibiscusfall/settings/router_settings.hpp"

#include "ini_table.hpp"

namespace hibiscusfall::settings
{

namespace
{

using namespace detail;
using router_setting = setting<router_settings>;

std::string set_mode(router_settings& target, std::string_view value)
{
    if (value != "fleet" && value != "alone") {
        return quoted(value) + " is neither fleet nor alone";
    }
    target.mode = value == "fleet" ? scheduling_mode::fleet : scheduling_mode::alone;
    return {};
}

std::vector<router_setting> make_table()
{
    using s = router_settings;
    return {
        {{"instance", "id", "name", "", "Name of this instance, unique in the fleet."},
         true,
         set_name(&s::id)},
        {{"instance", "failure_domain", "name", "", "Failure domain that it runs in."},
         true,
         set_name(&s::domain)},
        {{"listen", "callers", "ip:port", "", "Where callers connect."}, true, set_address(&s::callers)},
        {{"listen", "operators", "ip:port", "", "Operator interface and JSON-RPC of other instances."},
         true,
         set_address(&s::operators)},
        {{"listen", "inner", "ip:port", "", "UDP address for other instances."},
         true,
         set_address(&s::inner)},
        {{"advertise", "operators", "ip:port", "", "Operator address as others reach it."},
         false,
         set_address(&s::advertised_operators)},
        {{"advertise", "inner", "ip:port", "", "UDP address as others reach it."},
         false,
         set_address(&s::advertised_inner)},
        {{"peers", "seeds", "ip:port list", "", "UDP addresses asked first for the other instances."},
         false,
         set_addresses(&s::seeds)},
        {{"platform", "store", "ip:port", "", "The platform's key-value service."},
         true,
         set_address(&s::store)},
        {{"platform",
          "instance_list",
          "ip:port",
          "",
          "Where the platform lists instances; not asked when not set."},
         false,
         set_address(&s::instance_list)},
        {{"security", "fleet_secret", "text", "", "Secret shared by all instances, 16 characters or more."},
         true,
         set_text(&s::fleet_secret, 16)},
        {{"security", "operator_token_hash", "hex", "", "Digest of the operators' token."},
         true,
         set_text(&s::operator_token_hash, 64)},
        {{"limits", "queue_per_team", "requests", "64", "Requests of one team that may wait here."},
         false,
         set_number(&s::queue_per_team, 1, 100000)},
        {{"limits", "queue_total", "requests", "1024", "Requests that may wait here in all."},
         false,
         set_number(&s::queue_total, 1, 100000)},
        {{"limits", "header_bytes", "bytes", "16384", "Largest request header."},
         false,
         set_number(&s::header_bytes, 1024, 1048576)},
        {{"limits", "body_bytes", "bytes", "1048576", "Largest request body."},
         false,
         set_number(&s::body_bytes, 1024, 67108864)},
        {{"limits", "connections", "connections", "800", "Caller connections at once."},
         false,
         set_number(&s::connections, 1, 10000)},
        {{"limits", "default_deadline_ms", "ms", "60000", "Deadline of a request that names none."},
         false,
         set_milliseconds(&s::default_deadline, 1, 3600000)},
        {{"traffic", "retry_percent", "percent", "10", "Retries allowed, as a part of all requests."},
         false,
         set_number(&s::retry_percent, 0, 100)},
        {{"traffic", "hedge_percent", "percent", "5", "Hedged requests allowed, as a part of all requests."},
         false,
         set_number(&s::hedge_percent, 0, 100)},
        {{"traffic", "connect_timeout_ms", "ms", "2000", "Longest time to connect to an endpoint."},
         false,
         set_milliseconds(&s::connect_timeout, 1, 60000)},
        {{"traffic", "endpoint_timeout_ms", "ms", "30000", "Longest silence within an endpoint's answer."},
         false,
         set_milliseconds(&s::endpoint_timeout, 1, 3600000)},
        {{"traffic", "connect_from", "ip", "", "Local IP number of connections to endpoints."},
         false,
         set_host(&s::connect_from)},
        {{"traffic",
          "caller_timeout_ms",
          "ms",
          "30000",
          "Longest time for a caller to send a request or take a piece."},
         false,
         set_milliseconds(&s::caller_timeout, 1, 3600000)},
        {{"scheduling", "mode", "fleet|alone", "fleet", "Where slots come from; alone is for measurements."},
         false,
         set_mode},
        {{"claims",
          "retention_s",
          "s",
          "86400",
          "How long an idempotency key is kept after its last change."},
         false,
         set_seconds(&s::claim_retention, 7200, 2592000)},
        {{"claims",
          "memory_mb",
          "MiB",
          "96",
          "Memory for idempotency keys; when full, new keys are refused."},
         false,
         set_number(&s::claim_memory_mb, 1, 4096)},
        {{"claims", "body_bytes", "bytes", "2048", "Largest answer that is kept for a repeated key."},
         false,
         set_number(&s::claim_body_bytes, 0, 4096)},
        {{"claims", "body_memory_mb", "MiB", "16", "Memory for kept answers; the oldest are dropped first."},
         false,
         set_number(&s::claim_body_memory_mb, 1, 4096)},
        {{"placement",
          "loads_per_minute",
          "orders/minute",
          "30",
          "Model loads that a failure domain may order; 0 for none."},
         false,
         set_number(&s::loads_per_minute, 0, 6000)},
        {{"placement",
          "lease_seconds",
          "s",
          "10",
          "Length of the lease of placement; a failed holder is replaced after about 2 of them."},
         false,
         set_seconds(&s::placement_lease, 4, 600)},
        {{"shutdown", "limit_ms", "ms", "30000", "Longest time that a graceful shutdown may take."},
         false,
         set_milliseconds(&s::shutdown_limit, 0, 3600000)},
        {{"log", "level", "error|event|decision", "event", "How much is logged."},
         false,
         set_log_level(&s::log_level)},
    };
}

const std::vector<router_setting>& table()
{
    static const std::vector<router_setting> entries = make_table();
    return entries;
}

} // namespace

settings_reading read_router_settings(std::string_view ini_text)
{
    settings_reading reading;
    reading.settings = ini_reader{table()}.read(ini_text, reading.errors);
    auto& settings = reading.settings;
    if (!settings.advertised_inner) {
        settings.advertised_inner = settings.inner;
    }
    if (!settings.advertised_operators) {
        settings.advertised_operators = settings.operators;
    }
    return reading;
}

std::string to_string(const settings_error& error)
{
    return "[" + error.section + "] " + error.key + ": " + error.message;
}

std::vector<setting_description> describe_router_settings()
{
    return describe(table());
}

} // namespace hibiscusfall::settings
