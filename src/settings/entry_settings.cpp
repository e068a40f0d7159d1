#include "hibiscusfall/settings/entry_settings.hpp"

#include "ini_table.hpp"

#include <algorithm>
#include <utility>

namespace hibiscusfall::settings
{

namespace
{

using namespace detail;
using entry_setting = setting<entry_settings>;

std::string set_policy(entry_settings& target, std::string_view value)
{
    if (value != "engine_model" && value != "least_in_flight" && value != "no_admission") {
        return quoted(value) + " is none of engine_model, least_in_flight, no_admission";
    }
    target.policy = std::string{value};
    return {};
}

/// A template leaves the value empty on machines that state no limit.
std::string set_memory(entry_settings& target, std::string_view value)
{
    constexpr std::uint32_t lowest = 16;
    constexpr std::uint32_t highest = 1U << 20U;
    return value.empty() ? std::string{} : read_number(value, lowest, highest, target.memory_mb);
}

/// A template leaves the value empty on machines that state no limit.
std::string set_descriptors(entry_settings& target, std::string_view value)
{
    constexpr std::uint32_t lowest = 512;
    constexpr std::uint32_t highest = 1U << 20U;
    return value.empty() ? std::string{} : read_number(value, lowest, highest, target.descriptors);
}

/// Reads "domain:region,..."; a template leaves the value empty where no regions are stated.
std::string set_regions(entry_settings& target, std::string_view value)
{
    while (!value.empty()) {
        const auto comma = std::min(value.find(','), value.size());
        const auto item = value.substr(0, comma);
        const auto colon = item.find(':');
        if (colon == 0 || colon == std::string_view::npos || colon + 1 == item.size()) {
            return quoted(item) + " is not domain:region";
        }
        target.regions.insert_or_assign(core::failure_domain_id{item.substr(0, colon)},
                                        std::string{item.substr(colon + 1)});
        value.remove_prefix(std::min(comma + 1, value.size()));
    }
    return {};
}

/// As @c set_fraction; a template leaves the value empty where the platform states none.
setter<entry_settings> set_optional(double entry_settings::*member, double least, double most)
{
    return [member, set = set_fraction(member, least, most)](entry_settings& target, std::string_view value) {
        return value.empty() ? std::string{} : set(target, value);
    };
}

std::vector<entry_setting> make_table()
{
    using s = entry_settings;
    return {
        {{"instance", "id", "name", "", "Name of this instance, unique in the fleet."},
         true,
         set_name(&s::id)},
        {{"instance", "failure_domain", "name", "", "Failure domain that it runs in."},
         true,
         set_name(&s::domain)},
        {{"instance", "capacity", "cores", "1", "Part of a core that it has; the largest pass reports on."},
         false,
         set_fraction(&s::capacity, 0.001, 1024)},
        {{"instance", "memory_mb", "MiB", "80", "Memory that it may use."}, false, set_memory},
        {{"instance",
          "descriptors",
          "count",
          "",
          "File descriptors that it may open; empty for no known limit."},
         false,
         set_descriptors},
        {{"instance", "regions", "domain:region list", "", "Region of each failure domain."},
         false,
         set_regions},
        {{"listen", "callers", "ip:port", "", "Where callers connect."}, true, set_address(&s::callers)},
        {{"listen", "readiness", "ip:port", "", "Where the balancer asks whether it takes callers."},
         true,
         set_address(&s::readiness)},
        {{"listen", "inner", "ip:port", "", "UDP and TCP address for other instances."},
         true,
         set_address(&s::inner)},
        {{"listen", "metrics", "ip:port", "", "Where the metrics page is served; off when not set."},
         false,
         set_address(&s::metrics)},
        {{"peers", "seeds", "ip:port list", "", "Addresses of instances told first; their port is not used."},
         false,
         set_addresses(&s::seeds)},
        {{"store", "address", "ip:port", "", "The platform's store."}, true, set_address(&s::store)},
        {{"store", "writes_per_s", "count", "100", "Writing calls that the store takes of all instances."},
         false,
         set_fraction(&s::store_writes_per_second, 1, 1e6)},
        {{"store", "reads_per_s", "count", "500", "Reading calls that the store takes of all instances."},
         false,
         set_fraction(&s::store_reads_per_second, 1, 1e6)},
        {{"configuration", "bound_ms", "ms", "2000", "Time within which a new version is in force."},
         false,
         set_milliseconds(&s::configuration_bound, 100, 60000)},
        {{"repeats", "ratio", "fraction", "0.1", "Sends beyond the first, for each request of a service."},
         false,
         set_fraction(&s::repeat_ratio, 0, 10)},
        {{"repeats", "slack", "count", "10", "Further repeats in a window, over the whole fleet."},
         false,
         set_fraction(&s::repeat_slack, 0, 100000)},
        {{"repeats", "window_s", "s", "10", "Window of the budget of repeats."},
         false,
         set_fraction_of_seconds(&s::repeat_window, 0.1, 3600)},
        {{"cold_endpoints",
          "overshoot",
          "factor",
          "1",
          "Requests that a cold endpoint may get in a second, of all instances, for each that its service "
          "tolerates."},
         false,
         set_optional(&s::cold_overshoot, 0, 100)},
        {{"cold_endpoints", "slack", "count", "0", "Further requests to a cold endpoint in any second."},
         false,
         set_optional(&s::cold_slack, 0, 100000)},
        {{"second_sends",
          "limit",
          "fraction",
          "0",
          "Requests of a service that may be sent to a second endpoint while the first is slow; 0 for none."},
         false,
         set_fraction(&s::second_send_limit, 0, 0.5)},
        {{"shares", "window_s", "s", "4", "Window over which teams' shares are taken."},
         false,
         set_fraction_of_seconds(&s::share_window, 0.1, 3600)},
        {{"placement",
          "policy",
          "engine_model|least_in_flight|no_admission",
          "engine_model",
          "How requests are placed and refused; all but the first are for comparison."},
         false,
         set_policy},
        {{"shutdown", "limit_s", "s", "8", "Longest time that a graceful shutdown may take."},
         false,
         set_fraction_of_seconds(&s::stop_limit, 0.1, 3600)},
        {{"log", "level", "error|event|decision", "event", "How much is logged."},
         false,
         set_log_level(&s::log_level)},
    };
}

const std::vector<entry_setting>& table()
{
    static const std::vector<entry_setting> entries = make_table();
    return entries;
}

} // namespace

entry_settings_reading read_entry_settings(std::string_view ini_text)
{
    entry_settings_reading reading;
    reading.settings = ini_reader{table()}.read(ini_text, reading.errors);
    return reading;
}

std::vector<setting_description> describe_entry_settings()
{
    return describe(table());
}

} // namespace hibiscusfall::settings
