#include "metrics_shell.hpp"

#include "hibiscusfall/telemetry/metrics_page.hpp"

#include <sys/resource.h>

#include <cstdio>
#include <map>
#include <vector>

namespace hibiscusfall::node::detail
{

namespace
{

using telemetry::metrics_page;

/// One scheduler of this instance.
struct scheduler_sample {
    std::string service;
    std::string shard;
    scheduling::scheduler_figures figures;
};

/// Figures that belong to the control thread, copied in one go.
struct control_figures {
    datagram_counters datagrams;
    std::size_t members = 0;
    std::map<std::string, std::size_t> open_tickets; ///< By service.
    std::size_t held_slots = 0;
    std::vector<scheduler_sample> schedulers;
    claims::client_counters claim_client;
    claims::keeper_counters claim_keeper;
    claim_figures claims;
};

control_figures copy_figures(const metrics_sources& from)
{
    return from.parts.loop.ask([&from] {
        control_figures result{.datagrams = from.parts.hub.counters(),
                               .members = membership::live_members(from.parts.members).size(),
                               .open_tickets = {},
                               .held_slots = from.scheduling.slots().slots.size(),
                               .schedulers = {},
                               .claim_client = from.claims.client_counters(),
                               .claim_keeper = from.claims.keeper_counters(),
                               .claims = from.claims.figures()};
        for (const auto& [number, ticket] : from.scheduling.slots().open) {
            ++result.open_tickets[ticket.role.service.str()];
        }
        for (const auto& [role, scheduler] : from.scheduling.schedulers()) {
            result.schedulers.push_back({.service = role.service.str(),
                                         .shard = std::to_string(role.shard),
                                         .figures = scheduling::figures_of(scheduler)});
        }
        return result;
    });
}

/// One number out of many of the same metric, told apart by one label.
struct labelled_value {
    std::string_view label;
    double value = 0;
};

void write_counters(metrics_page& page,
                    std::string_view name,
                    std::string_view help,
                    std::string_view label,
                    std::initializer_list<labelled_value> values)
{
    for (const auto& item : values) {
        page.counter(name, help, {{label, item.label}}, item.value);
    }
}

template <class number>
double as_double(const number& value)
{
    return static_cast<double>(value);
}

void write_schedulers(metrics_page& page, const std::vector<scheduler_sample>& schedulers)
{
    using figures = scheduling::scheduler_figures;
    struct column {
        const char* name;
        const char* help;
        bool rising;
        double (*read)(const figures&);
    };
    static constexpr column columns[] = {
        {"hibiscusfall_scheduler_waiting",
         "Tickets in the queue.",
         false,
         [](const figures& from) { return as_double(from.waiting); }},
        {"hibiscusfall_scheduler_busy",
         "Slots in use.",
         false,
         [](const figures& from) { return as_double(from.busy); }},
        {"hibiscusfall_scheduler_slots",
         "Slots that may be in use at present.",
         false,
         [](const figures& from) { return as_double(from.slots); }},
        {"hibiscusfall_scheduler_grants_total",
         "Slots granted.",
         true,
         [](const figures& from) { return as_double(from.counters.grants); }},
        {"hibiscusfall_scheduler_refusals_total",
         "Tickets refused.",
         true,
         [](const figures& from) { return as_double(from.counters.refusals); }},
        {"hibiscusfall_scheduler_offers_made_total",
         "Slots offered to other failure domains.",
         true,
         [](const figures& from) { return as_double(from.counters.offers_made); }},
        {"hibiscusfall_scheduler_offers_taken_total",
         "Offers that were taken.",
         true,
         [](const figures& from) { return as_double(from.counters.offers_taken); }},
        {"hibiscusfall_scheduler_lapsed_leases_total",
         "Slots that returned without a release.",
         true,
         [](const figures& from) { return as_double(from.counters.lapsed_leases); }},
        {"hibiscusfall_scheduler_takeovers_total",
         "Times that the role was taken over.",
         true,
         [](const figures& from) { return as_double(from.counters.takeovers); }},
    };
    for (const auto& column : columns) {
        for (const auto& [service, shard, values] : schedulers) {
            const auto value = column.read(values);
            if (column.rising) {
                page.counter(column.name, column.help, {{"service", service}, {"shard", shard}}, value);
            } else {
                page.gauge(column.name, column.help, {{"service", service}, {"shard", shard}}, value);
            }
        }
    }
}

/// One line for each declared service, so that a queue that has emptied reads 0.
void write_open_tickets(metrics_page& page,
                        const configuration::document* current,
                        const std::map<std::string, std::size_t>& open_tickets)
{
    if (current == nullptr) {
        return;
    }
    for (const auto& [id, service] : current->services) {
        const auto found = open_tickets.find(id.str());
        page.gauge("hibiscusfall_open_tickets",
                   "Tickets of this router without an answer.",
                   {{"service", id.str()}},
                   found == open_tickets.end() ? 0 : as_double(found->second));
    }
}

void write_claims(metrics_page& page,
                  const claims::client_counters& client,
                  const claims::keeper_counters& keeper)
{
    write_counters(page,
                   "hibiscusfall_claims_total",
                   "Claims on idempotency keys asked for here, by result.",
                   "result",
                   {{"granted", as_double(client.granted)},
                    {"replayed", as_double(client.replayed)},
                    {"not_run", as_double(client.not_run)},
                    {"may_have_run", as_double(client.may_have_run)}});
    write_counters(page,
                   "hibiscusfall_claim_keeper_events_total",
                   "What the claim keepers of this instance did.",
                   "event",
                   {{"granted", as_double(keeper.granted)},
                    {"replayed", as_double(keeper.replayed)},
                    {"refused", as_double(keeper.refused)},
                    {"settled", as_double(keeper.settled)},
                    {"takeover", as_double(keeper.takeovers)},
                    {"store_read", as_double(keeper.store_reads)},
                    {"store_write", as_double(keeper.store_writes)},
                    {"expired", as_double(keeper.expired)},
                    {"conflict", as_double(keeper.conflicts)}});
}

void write_claim_gauges(metrics_page& page, const claim_figures& claims)
{
    page.gauge("hibiscusfall_claim_shards_served",
               "Parts of the key space that this instance keeps.",
               {},
               as_double(claims.shards_served));
    page.gauge("hibiscusfall_claims_held",
               "Idempotency keys in memory, copies included.",
               {},
               as_double(claims.claims));
    page.gauge(
        "hibiscusfall_claim_bytes", "Memory of these keys and their answers.", {}, as_double(claims.bytes));
    page.gauge("hibiscusfall_claims_unsettled",
               "Outcomes that no keeper has acknowledged.",
               {},
               as_double(claims.unsettled));
}

void write_traffic(metrics_page& page, const traffic::traffic_counters& from)
{
    for (const auto& outcome : from.outcomes()) {
        page.counter(
            "hibiscusfall_requests_total",
            "Requests of callers by verdict and reason.",
            {{"verdict", core::to_string(outcome.state)}, {"reason", core::to_string(outcome.reason)}},
            as_double(outcome.count));
    }
    write_counters(page,
                   "hibiscusfall_request_events_total",
                   "What was done for requests of callers.",
                   "event",
                   {{"attempt", as_double(from.attempts.load())},
                    {"retry", as_double(from.retries.load())},
                    {"hedge", as_double(from.hedges.load())},
                    {"hedge_won", as_double(from.hedges_won.load())},
                    {"hedge_refused", as_double(from.hedges_refused.load())},
                    {"resume", as_double(from.resumes.load())},
                    {"move", as_double(from.moves.load())},
                    {"cancel", as_double(from.cancels.load())},
                    {"replay", as_double(from.replays.load())},
                    {"turned_away", as_double(from.turned_away.load())}});
    page.counter("hibiscusfall_tokens_total", "Tokens relayed.", {}, as_double(from.tokens.load()));
    page.gauge(
        "hibiscusfall_requests_in_flight", "Requests being handled.", {}, as_double(from.in_flight.load()));
    page.gauge(
        "hibiscusfall_requests_waiting", "Requests waiting for a slot.", {}, as_double(from.waiting.load()));
    page.gauge("hibiscusfall_connections", "Connections of callers.", {}, as_double(from.connections.load()));
    page.histogram("hibiscusfall_first_byte_seconds",
                   "From a request's arrival to the first byte of its answer.",
                   {},
                   from.first_byte.snapshot());
    page.histogram("hibiscusfall_answer_seconds",
                   "From a request's arrival to the end of its answer.",
                   {},
                   from.whole.snapshot());
    page.histogram("hibiscusfall_slot_wait_seconds", "Wait for a slot.", {}, from.wait.snapshot());
}

void write_datagrams(metrics_page& page, const datagram_counters& counters)
{
    constexpr auto datagrams = "hibiscusfall_datagrams_total";
    constexpr auto datagrams_help = "Datagrams between instances.";
    page.counter(
        datagrams, datagrams_help, {{"direction", "sent"}}, static_cast<double>(counters.sent_datagrams));
    page.counter(datagrams,
                 datagrams_help,
                 {{"direction", "received"}},
                 static_cast<double>(counters.received_datagrams));
    constexpr auto bytes = "hibiscusfall_datagram_bytes_total";
    constexpr auto bytes_help = "Bytes in datagrams between instances.";
    page.counter(bytes, bytes_help, {{"direction", "sent"}}, static_cast<double>(counters.sent_bytes));
    page.counter(
        bytes, bytes_help, {{"direction", "received"}}, static_cast<double>(counters.received_bytes));
    constexpr auto dropped = "hibiscusfall_datagrams_dropped_total";
    constexpr auto dropped_help = "Datagrams that were not accepted.";
    for (std::size_t fault = 1; fault < counters.dropped.size(); ++fault) {
        page.counter(dropped,
                     dropped_help,
                     {{"reason", protocol::to_string(static_cast<protocol::datagram_fault>(fault))}},
                     static_cast<double>(counters.dropped.at(fault)));
    }
    page.counter(dropped, dropped_help, {{"reason", "replayed"}}, static_cast<double>(counters.replayed));
}

/// The rest of the bytes sent are heads and authentication of the datagrams.
void write_message_kinds(metrics_page& page, const datagram_counters& counters)
{
    for (std::size_t kind = 0; kind < counters.sent_messages.size(); ++kind) {
        page.counter("hibiscusfall_messages_sent_total",
                     "Messages to other instances by kind.",
                     {{"kind", protocol::name_of_kind(kind)}},
                     as_double(counters.sent_messages.at(kind)));
    }
    for (std::size_t kind = 0; kind < counters.sent_message_bytes.size(); ++kind) {
        page.counter("hibiscusfall_message_bytes_sent_total",
                     "Bytes of messages to other instances by kind.",
                     {{"kind", protocol::name_of_kind(kind)}},
                     as_double(counters.sent_message_bytes.at(kind)));
    }
}

double seconds(const timeval& value)
{
    constexpr double microseconds_per_second = 1e6;
    return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) / microseconds_per_second;
}

double resident_bytes()
{
    long total_pages = 0;
    long resident_pages = 0;
    if (std::FILE* file = std::fopen("/proc/self/statm", "r")) {
        if (std::fscanf(file, "%ld %ld", &total_pages, &resident_pages) != 2) {
            resident_pages = 0;
        }
        std::fclose(file);
    }
    constexpr double page_bytes = 4096;
    return static_cast<double>(resident_pages) * page_bytes;
}

void write_process(metrics_page& page)
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    page.counter("process_cpu_seconds_total",
                 "Processor time of the whole process.",
                 {},
                 seconds(usage.ru_utime) + seconds(usage.ru_stime));
    page.gauge("process_resident_memory_bytes", "Memory in use.", {}, resident_bytes());
}

} // namespace

std::string write_metrics(const metrics_sources& from)
{
    metrics_page page;
    const auto document = from.parts.configuration.current();
    const auto figures = copy_figures(from);
    page.gauge("hibiscusfall_configuration_revision",
               "Configuration revision in force; 0 when there is none.",
               {},
               document ? as_double(document->revision) : 0);
    page.gauge("hibiscusfall_live_members",
               "Instances that this one holds to be live, itself included.",
               {},
               as_double(figures.members));
    page.counter("hibiscusfall_control_cpu_seconds_total",
                 "Processor time of the control thread.",
                 {},
                 from.parts.loop.processor_seconds());
    write_open_tickets(page, document.get(), figures.open_tickets);
    page.gauge("hibiscusfall_held_slots", "Slots that this router holds.", {}, as_double(figures.held_slots));
    write_datagrams(page, figures.datagrams);
    write_message_kinds(page, figures.datagrams);
    write_schedulers(page, figures.schedulers);
    write_claims(page, figures.claim_client, figures.claim_keeper);
    write_claim_gauges(page, figures.claims);
    write_store_usage(page, from.store);
    write_traffic(page, from.traffic);
    write_process(page);
    return page.text();
}

} // namespace hibiscusfall::node::detail
