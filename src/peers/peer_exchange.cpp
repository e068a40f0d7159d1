#include "hibiscusfall/peers/peer_exchange.hpp"

#include "exchange_limits.hpp"

#include "hibiscusfall/peers/report_pace.hpp"
#include "hibiscusfall/peers/store_readers.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace hibiscusfall::peers
{

namespace
{

namespace asio = relay::asio;
using asio::ip::udp;
using error_code = boost::system::error_code;
using std::chrono::milliseconds;

/// A member that was not heard for this long is forgotten.
constexpr core::duration member_memory = std::chrono::seconds{60};
/// Who reads the store is looked at this often.
constexpr core::duration reader_interval = milliseconds{100};
/// First byte of a datagram: whether its receiver passes it on to the instances of its domain, or answers
/// with all the members that it knows.
constexpr char for_one = '1';
constexpr char for_its_domain = 'D';
constexpr char asks_for_members = 'M';
/// After its start an instance asks the seeds for members for this long.
constexpr core::duration asking_time = std::chrono::seconds{5};
/// It asks again after this, and then after ever longer times.
constexpr core::duration first_asking = milliseconds{60};
/// Members that are not heard, or not yet, are told this often that this instance lives.
constexpr core::duration hello_interval = milliseconds{1000};

udp::endpoint to_endpoint(const core::address& at)
{
    return {asio::ip::make_address_v4(at.host), at.port};
}

} // namespace

peer_exchange::peer_exchange(relay::entry& owner,
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
}

void peer_exchange::add_member(const core::address& member)
{
    if (member != this->options.listen_address) {
        this->members.try_emplace(member, peer_exchange::member{.added_at = relay::event_loop::now()});
    }
}

void peer_exchange::start()
{
    const auto at = to_endpoint(this->options.listen_address);
    this->socket.open(udp::v4());
    this->socket.bind(at);
    this->acceptor.open(asio::ip::tcp::v4());
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true});
    this->acceptor.bind({at.address(), at.port()});
    this->acceptor.listen();
    asio::co_spawn(this->entry.loop.context(), this->receive(), asio::detached);
    asio::co_spawn(this->entry.loop.context(), this->serve_copies(), asio::detached);
    this->schedule_tick();
    this->started_at = relay::event_loop::now();
    this->request_members(this->started_at);
    this->catalog.enable_store_reads(false);
    this->entry.loop.once(first_selection_delay, [this](core::instant first) {
        this->choose_readers(first);
        this->entry.loop.every(reader_interval, [this](core::instant now) { this->choose_readers(now); });
    });
}

void peer_exchange::schedule_tick()
{
    const auto interval = tick_interval(this->members.size());
    this->entry.loop.once(relay::until_next(interval, relay::event_loop::now()), [this](core::instant now) {
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
        return each.second.last_heard + member_silence > now;
    });
    return static_cast<std::uint32_t>(live) + 1;
}

void peer_exchange::request_members(core::instant now)
{
    this->last_member_request = now;
    const auto question = asks_for_members + encode(this->make_report_header(now));
    for (const auto& seed : this->options.seeds) {
        const core::address member{.host = seed.host, .port = this->options.listen_address.port};
        if (member != this->options.listen_address) {
            this->send_to(member, question);
        }
    }
}

void peer_exchange::tick(core::instant now)
{
    this->update_catalog(now);
    const auto age = core::elapsed(this->started_at, now);
    // All start at once on the first day: the seeds learn of the others meanwhile.
    if (age < asking_time && now - this->last_member_request >= std::max(first_asking, age / 2)) {
        this->request_members(now);
    }
    if (now - this->last_sent < report_interval(this->members.size())) {
        return;
    }
    const bool full = now - this->last_full_report >= full_report_interval(this->members.size());
    auto report = this->make_report(now, full);
    const bool news = !report.leaving_endpoints.empty() || !report.endpoints.empty() ||
                      !report.prompt_parts.empty() || !report.teams.empty();
    if (!news && now - this->last_sent < keepalive_interval) {
        --this->sequence;
        return;
    }
    this->last_sent = now;
    if (full) {
        this->last_full_report = now;
    }
    auto bytes = for_one + encode(report);
    this->send(bytes, now);
}

void peer_exchange::send_members(const core::address& newcomer, core::instant now)
{
    auto report = this->make_report_header(now);
    for (const auto& [address, known] : this->members) {
        if (known.last_heard + member_silence > now && address != newcomer) {
            report.member_addresses.push_back(core::to_string(address));
        }
    }
    this->send_to(newcomer, for_one + encode(report));
}

void peer_exchange::send_to(const core::address& to, const std::string& bytes)
{
    error_code error; // a refused datagram is made good by the next one
    this->socket.send_to(asio::buffer(bytes), to_endpoint(to), 0, error);
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
    const auto bytes = for_one + reports;
    for (const auto& [address, known] : this->members) {
        if (known.domain == this->entry.options.domain.view() && known.last_heard + member_silence > now) {
            this->send_to(address, bytes);
        }
    }
}

void peer_exchange::send(std::string& bytes, core::instant now)
{
    const auto hubs = this->choose_hubs(now);
    const auto own_domain = this->entry.options.domain.view();
    const auto own = hubs.find(own_domain);
    this->is_hub = own == hubs.end() || *own->second == this->options.listen_address;
    this->check_own_hub(own == hubs.end() ? nullptr : own->second, now);
    if (own != hubs.end() && this->is_hub) {
        this->forward(std::string_view{bytes}.substr(1));
    }
    const bool greeting = now - this->last_keepalive >= hello_interval;
    const auto hello = greeting ? for_one + encode(this->make_report_header(now)) : std::string{};
    this->last_keepalive = greeting ? now : this->last_keepalive;
    for (auto place = this->members.begin(); place != this->members.end();) {
        const auto& [address, known] = *place;
        const auto last = std::max(known.last_heard, known.added_at);
        if (last + member_memory < now) {
            place = this->members.erase(place);
            continue;
        }
        // A silent member may be back behind a cut: it is told now and then, like one not heard yet.
        const bool silent = known.name.empty() || last + member_silence < now;
        const auto hub = hubs.find(known.domain);
        const bool has_hub = !silent && hub != hubs.end();
        const bool is_hub = has_hub && *hub->second == address;
        if (is_hub || (!has_hub && !silent)) {
            bytes.front() = is_hub ? for_its_domain : for_one;
            this->send_to(address, bytes);
        } else if (silent && greeting) {
            this->send_to(address, hello);
        }
        ++place;
    }
}

void peer_exchange::handle_report(const load_report& report, core::instant now)
{
    const auto from = core::parse_address(report.address);
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
    known.list_revision = report.list_revision;
    known.list_digest = report.list_digest;
    known.configuration_age = milliseconds{report.configuration_age_ms};
    known.store_failing = report.store_failing;
    known.leaving = report.leaving;
    known.cpu_cores = report.cpu_cores;
    if (report.table_version == this->catalog.table_version() &&
        report.list_digest == this->catalog.list_digest()) {
        this->catalog.confirm(report.list_revision, known.configuration_age);
    }
    for (const auto& address : report.member_addresses) {
        if (const auto parsed = core::parse_address(address)) {
            this->add_member(*parsed);
        }
    }
    apply(this->entry.book, report, now);
}

void peer_exchange::choose_readers(core::instant now)
{
    std::vector<reader_candidate> others;
    others.reserve(this->members.size());
    for (const auto& [address, known] : this->members) {
        others.push_back({.name = known.name,
                          .last_heard = known.last_heard,
                          .store_failing = known.store_failing,
                          .leaving = known.leaving});
    }
    const bool chosen = should_read_store(this->entry.options.instance.view(), others, now);
    if (chosen != this->reading_store) {
        telemetry::write(
            telemetry::log_event{"store_reader"}.with("reads", chosen).with("known", others.size()));
    }
    this->reading_store = chosen;
    this->catalog.enable_store_reads(chosen);
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
            continue; // a peer's port was closed: an answer to something sent
        }
        ++this->counters.received_datagrams;
        if (length == 0) {
            ++this->counters.malformed_datagrams;
            continue;
        }
        bool malformed = false;
        const std::string_view reports{this->datagram.data() + 1, length - 1};
        const auto read = decode_all(reports, malformed);
        this->counters.malformed_datagrams += malformed ? 1 : 0;
        const auto now = relay::event_loop::now();
        for (const auto& report : read) {
            this->handle_report(report, now);
        }
        const auto sender = this->members.find({.host = from.address().to_string(), .port = from.port()});
        if (sender != this->members.end()) {
            sender->second.last_datagram = now;
        }
        if (this->datagram.front() == asks_for_members && !read.empty() && !malformed) {
            this->send_members({.host = from.address().to_string(), .port = from.port()}, now);
        }
        if (this->datagram.front() == for_its_domain && !malformed) {
            this->forward(reports);
        }
    }
}

} // namespace hibiscusfall::peers
