#include "store_usage.hpp"

#include <string_view>

namespace hibiscusfall::node::detail
{

namespace
{

/// What one part of the instance counted.
struct part_usage {
    std::string_view part;
    const platform::store_counters& counters;
};

double as_double(const std::atomic<std::uint64_t>& value)
{
    return static_cast<double>(value.load());
}

void write_calls(telemetry::metrics_page& page, const part_usage& usage)
{
    constexpr auto name = "hibiscusfall_store_calls_total";
    constexpr auto help = "Calls on the store, each attempt counted, by part and kind.";
    const auto write = [&](std::string_view kind, const std::atomic<std::uint64_t>& value) {
        page.counter(name, help, {{"part", usage.part}, {"kind", kind}}, as_double(value));
    };
    write("read", usage.counters.reads);
    write("write", usage.counters.writes);
    write("lease", usage.counters.lease_calls);
    write("watch", usage.counters.watches);
}

} // namespace

void write_store_usage(telemetry::metrics_page& page, const store_usage& from)
{
    const part_usage parts[] = {
        {"configuration", *from.configuration}, {"placement", *from.placement}, {"claims", *from.claims}};
    for (const auto& usage : parts) {
        write_calls(page, usage);
    }
    for (const auto& usage : parts) {
        page.counter("hibiscusfall_store_call_failures_total",
                     "Calls on the store without a usable answer.",
                     {{"part", usage.part}},
                     as_double(usage.counters.failures));
    }
}

} // namespace hibiscusfall::node::detail
