#include "hibiscusfall/peers/peer_exchange.hpp"

#include "exchange_limits.hpp"

#include "hibiscusfall/peers/report_pace.hpp"
#include "hibiscusfall/peers/store_readers.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace hibiscusfall::peers
{

namespace
{

namespace asio = relay::asio;
using asio::ip::udp;
using error_code = boost::system::error_code;
using std::chrono::milliseconds;

/// A member without a report for this long is removed.
constexpr core::duration member_retention = std::chrono::seconds{60};
/// Interval at which the readers of the store are selected.
constexpr core::duration reader_selection_interval = milliseconds{100};
/// First byte of a datagram: the receiver only applies the reports, forwards them to the instances of its
/// failure domain as well, or replies with the addresses of all live members that it knows.
constexpr char direct_message = '1';
constexpr char domain_message = 'D';
constexpr char member_request = 'M';
/// Time after its start for which an instance requests members from the seeds.
constexpr core::duration member_request_period = std::chrono::seconds{5};
/// Interval between the first requests; later it grows to half of the instance's age.
constexpr core::duration min_member_request_interval = milliseconds{60};
/// Interval of probes: report headers sent to members from which no report came yet, or none recently.
constexpr core::duration probe_interval = milliseconds{1000};

/// @returns Nothing for a text that is not an IPv4 address with a port: nothing can be sent there.
std::optional<core::address> parse_member_address(std::string_view text)
{
    auto parsed = core::parse_address(text);
    error_code error;
    if (parsed) {
        const auto ip = asio::ip::make_address_v4(parsed->host, error);
        // The text is read up to a zero byte, hence the comparison.
        if (error || ip.to_string() != parsed->host) {
            return std::nullopt;
        }
    }
    return parsed;
}

udp::endpoint to_udp_endpoint(const core::address& address)
{
    return {asio::ip::make_address_v4(address.host), address.port};
}

} // namespace

peer_exchange::peer_exchange(relay::relay_server& owner,
                             exchange_options settings,
                             exchange_callbacks catalog_access)
    : entry(owner), options(std::move(settings)), catalog(std::move(catalog_access)),
      socket(owner.loop.context()), acceptor(owner.loop.context())
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    this->incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
    for (const auto& seed : this->options.seeds) {
        this->add_member({.host = seed.host, .port = this->options.listen_address.port});
    }
    this->entry.fleet.cold.expects_peers = !this->members.empty();
}

void peer_exchange::add_member(const core::address& member)
{
    if (member != this->options.listen_address) {
        this->members.try_emplace(member, peer_exchange::member{.added_at = relay::event_loop::now()});
    }
}

void peer_exchange::start()
{
    const auto bind_endpoint = to_udp_endpoint(this->options.listen_address);
    this->socket.open(udp::v4());
    this->socket.bind(bind_endpoint);
    this->acceptor.open(asio::ip::tcp::v4());
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true});
    this->acceptor.bind({bind_endpoint.address(), bind_endpoint.port()});
    this->acceptor.listen();
    this->entry.loop.keep_running("receive_reports", [this] { return this->receive(); });
    this->entry.loop.keep_running("serve_copies", [this] { return this->serve_copies(); });
    this->schedule_tick();
    this->started_at = relay::event_loop::now();
    this->request_members(this->started_at);
    this->catalog.enable_store_reads(false);
    this->entry.loop.once(first_selection_delay, [this](core::instant selection_time) {
        this->choose_readers(selection_time);
        this->entry.loop.every(reader_selection_interval,
                               [this](core::instant now) { this->choose_readers(now); });
    });
}

void peer_exchange::schedule_tick()
{
    const auto interval = tick_interval(this->members.size());
    this->entry.loop.once(relay::time_to_next_tick(interval, relay::event_loop::now()),
                          [this](core::instant now) {
                              if (now - this->batch.started_at >= report_interval(this->members.size()) / 2) {
                                  this->send_batch(std::exchange(this->batch.reports, {}));
                              }
                              this->tick(now);
                              this->schedule_tick();
                          });
}

std::uint32_t peer_exchange::live_instances(core::instant now) const
{
    const auto live = std::count_if(this->members.begin(), this->members.end(), [now](const auto& each) {
        return each.second.last_heard + member_timeout > now;
    });
    return static_cast<std::uint32_t>(live) + 1;
}

void peer_exchange::request_members(core::instant now)
{
    this->last_member_request = now;
    const auto request = member_request + encode(this->make_report_header(now));
    for (const auto& seed : this->options.seeds) {
        const core::address member{.host = seed.host, .port = this->options.listen_address.port};
        if (member != this->options.listen_address) {
            this->send_to(member, request);
        }
    }
}

void peer_exchange::tick(core::instant now)
{
    this->update_catalog(now);
    const auto age = core::elapsed(this->started_at, now);
    // The requests are repeated, as in a fleet that starts all at once the seeds still learn of the others.
    if (age < member_request_period &&
        now - this->last_member_request >= std::max(min_member_request_interval, age / 2)) {
        this->request_members(now);
    }
    if (now - this->last_sent < report_interval(this->members.size())) {
        return;
    }
    const bool full = now - this->last_full_report >= full_report_interval(this->members.size());
    auto report = this->make_report(now, full);
    const bool has_changes = !report.leaving_endpoints.empty() || !report.endpoints.empty() ||
                             !report.prompt_parts.empty() || !report.teams.empty() ||
                             !report.crashes.empty() || !report.cold_endpoints.empty();
    if (!has_changes && now - this->last_sent < keepalive_interval) {
        --this->sequence;
        return;
    }
    this->last_sent = now;
    if (full) {
        this->last_full_report = now;
    }
    auto bytes = direct_message + encode(report);
    this->send(bytes, now);
}

void peer_exchange::send_members(const core::address& newcomer, core::instant now)
{
    auto report = this->make_report_header(now);
    for (const auto& [address, known] : this->members) {
        if (known.last_heard + member_timeout > now && address != newcomer) {
            report.member_addresses.push_back(core::to_string(address));
        }
    }
    for (const auto& cause : this->entry.fleet.crashes.causes) {
        report.crashes.causes.push_back(to_entry(cause, now));
    }
    this->add_silent_instances(report, this->entry.fleet.cold.instances.size(), now);
    this->send_to(newcomer, direct_message + encode(report));
}

void peer_exchange::send_to(const core::address& to, const std::string& bytes)
{
    error_code error; // ignored: the next report corrects the loss
    this->socket.send_to(asio::buffer(bytes), to_udp_endpoint(to), 0, error);
    ++this->counters.sent_datagrams;
}

void peer_exchange::forward(std::string_view reports)
{
    this->send_batch(add(this->batch, reports, relay::event_loop::now()));
}

void peer_exchange::send_batch(const std::string& reports)
{
    if (reports.empty()) {
        return;
    }
    const auto now = relay::event_loop::now();
    const auto bytes = direct_message + reports;
    for (const auto& [address, known] : this->members) {
        if (known.domain == this->entry.options.domain.view() && known.last_heard + member_timeout > now) {
            this->send_to(address, bytes);
        }
    }
}

void peer_exchange::send(std::string& bytes, core::instant now)
{
    const auto hubs = this->choose_hubs(now);
    const auto own_domain = this->entry.options.domain.view();
    const auto own_domain_hub = hubs.find(own_domain);
    this->is_hub = own_domain_hub == hubs.end() || *own_domain_hub->second == this->options.listen_address;
    this->check_own_hub(own_domain_hub == hubs.end() ? nullptr : own_domain_hub->second, now);
    if (own_domain_hub != hubs.end() && this->is_hub) {
        this->forward(std::string_view{bytes}.substr(1));
    }
    const bool probe_due = now - this->last_probe >= probe_interval;
    const auto probe = probe_due ? direct_message + encode(this->make_report_header(now)) : std::string{};
    this->last_probe = probe_due ? now : this->last_probe;
    for (auto position = this->members.begin(); position != this->members.end();) {
        const auto& [address, known] = *position;
        const auto last = std::max(known.last_heard, known.added_at);
        if (last + member_retention < now) {
            position = this->members.erase(position);
            continue;
        }
        // A silent member may become reachable again when a network partition ends: it is sent probes, like
        // one from which no report came yet.
        const bool silent = known.name.empty() || last + member_timeout < now;
        const auto hub = hubs.find(known.domain);
        const bool has_hub = !silent && hub != hubs.end();
        const bool is_hub = has_hub && *hub->second == address;
        if (is_hub || (!has_hub && !silent)) {
            bytes.front() = is_hub ? domain_message : direct_message;
            this->send_to(address, bytes);
        } else if (silent && probe_due) {
            this->send_to(address, probe);
        }
        ++position;
    }
}

void peer_exchange::handle_report(const load_report& report, core::instant now)
{
    const auto from = parse_member_address(report.address);
    if (!from || report.instance == this->entry.options.instance.view()) {
        return;
    }
    auto& known = this->members.try_emplace(*from, member{.added_at = now}).first->second;
    if (known.name.empty()) {
        telemetry::write(telemetry::log_event{"peer_heard"}
                             .with("peer", report.instance)
                             .with("domain", report.domain)
                             .with("address", report.address));
    }
    known.name = report.instance;
    known.domain = report.domain;
    known.last_heard = now;
    known.table_version = report.table_version;
    known.list_position = list_position(report);
    known.list_digest = report.list_digest;
    known.configuration_age = milliseconds{report.configuration_age_ms};
    known.store_failing = report.store_failing;
    known.leaving = report.leaving;
    known.cpu_cores = report.cpu_cores;
    if (report.table_version == this->catalog.table_version()) {
        this->catalog.confirm_configuration(known.configuration_age);
    }
    if (report.list_digest == this->catalog.list_digest()) {
        this->catalog.confirm_endpoints(known.list_position);
    }
    const catalog::store_position evacuations{.era = report.evacuations.era,
                                              .revision = report.evacuations.revision};
    if (evacuations > this->catalog.evacuations().position) {
        const auto& domains = report.evacuations.domains;
        this->catalog.apply_evacuations({domains.begin(), domains.end()}, evacuations);
    }
    for (const auto& address : report.member_addresses) {
        if (const auto parsed = parse_member_address(address)) {
            this->add_member(*parsed);
        }
    }
    apply(this->entry.fleet, report, now);
    if (!report.crashes.empty()) {
        for (const auto trait : apply(this->entry.fleet.crashes, report.crashes, now)) {
            this->entry.activity.exonerated_traits.emplace_back(trait, now);
        }
        this->entry.apply_cause_changes();
    }
}

void peer_exchange::choose_readers(core::instant now)
{
    const auto own_era = this->catalog.list_position().era;
    std::vector<reader_candidate> others;
    others.reserve(this->members.size());
    for (const auto& [address, known] : this->members) {
        others.push_back({.name = known.name,
                          .last_heard = known.last_heard,
                          .store_failing = known.store_failing,
                          .leaving = known.leaving,
                          .earlier_era = known.list_position.era < own_era});
    }
    const bool should_read = should_read_store(this->entry.options.instance.view(), others, now);
    if (should_read != this->reading_store) {
        telemetry::write(
            telemetry::log_event{"store_reader"}.with("reads", should_read).with("known", others.size()));
    }
    this->reading_store = should_read;
    this->catalog.enable_store_reads(should_read);
}

asio::awaitable<void> peer_exchange::receive()
{
    while (true) {
        error_code error;
        udp::endpoint from;
        const auto length = co_await this->socket.async_receive_from(
            asio::buffer(this->datagram), from, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            continue; // ICMP error for an earlier datagram to a closed port
        }
        ++this->counters.received_datagrams;
        this->apply_datagram({this->datagram.data(), length},
                             {.host = from.address().to_string(), .port = from.port()},
                             relay::event_loop::now());
    }
}

void peer_exchange::apply_datagram(std::span<const char> bytes, const core::address& from, core::instant now)
{
    if (bytes.empty()) {
        ++this->counters.malformed_datagrams;
        return;
    }
    const auto kind = bytes.front();
    const auto content = bytes.subspan(1);
    if (kind == origin_request_message || kind == origin_receipt_message) {
        const bool known = kind == origin_request_message ? this->apply_origin_request(content, from, now)
                                                          : this->apply_origin_receipt(content, from);
        this->counters.malformed_datagrams += known ? 0 : 1;
        return;
    }
    this->apply_reports(kind, {content.data(), content.size()}, from, now);
}

void peer_exchange::apply_reports(char kind,
                                  std::string_view reports,
                                  const core::address& from,
                                  core::instant now)
{
    bool malformed = false;
    const auto decoded = decode_all(reports, malformed);
    this->counters.malformed_datagrams += malformed ? 1 : 0;
    for (const auto& report : decoded) {
        this->handle_report(report, now);
    }
    const auto sender = this->members.find(from);
    if (sender != this->members.end()) {
        sender->second.last_datagram = now;
    }
    if (kind == member_request && !decoded.empty() && !malformed) {
        this->send_members(from, now);
    }
    if (kind == domain_message && !malformed) {
        this->forward(reports);
    }
}

} // namespace hibiscusfall::peers
