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

peer_exchange::peer_exchange(relay::entry& owner, exchange_options settings, exchange_ports connections)
    : entry(owner), options(std::move(settings)), ports(std::move(connections)), socket(owner.loop.context()),
      acceptor(owner.loop.context())
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    this->incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
    for (const auto& seed : this->options.seeds) {
        this->add_member({.host = seed.host, .port = this->options.inner.port});
    }
}

void peer_exchange::add_member(const core::address& member)
{
    if (member != this->options.inner) {
        this->members.try_emplace(member, peer_exchange::member{.added = relay::event_loop::now()});
    }
}

void peer_exchange::start()
{
    const auto at = to_endpoint(this->options.inner);
    this->socket.open(udp::v4());
    this->socket.bind(at);
    this->acceptor.open(asio::ip::tcp::v4());
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true});
    this->acceptor.bind({at.address(), at.port()});
    this->acceptor.listen();
    asio::co_spawn(this->entry.loop.context(), this->receive(), asio::detached);
    asio::co_spawn(this->entry.loop.context(), this->serve_copies(), asio::detached);
    this->arm_tick();
    this->started = relay::event_loop::now();
    this->ask_seeds(this->started);
    this->ports.read_store(false);
    this->entry.loop.once(first_choice, [this](core::instant first) {
        this->choose_readers(first);
        this->entry.loop.every(reader_interval, [this](core::instant now) { this->choose_readers(now); });
    });
}

void peer_exchange::arm_tick()
{
    const auto interval = tick_interval(this->members.size());
    this->entry.loop.once(relay::until_next(interval, relay::event_loop::now()), [this](core::instant now) {
        if (now - this->batch.begun >= report_interval(this->members.size()) / 2) {
            this->send_batch(std::exchange(this->batch.reports, {}));
        }
        this->tick(now);
        this->arm_tick();
    });
}

std::uint32_t peer_exchange::live_instances(core::instant now) const
{
    const auto live = std::count_if(this->members.begin(), this->members.end(), [now](const auto& each) {
        return each.second.heard + member_silence > now;
    });
    return static_cast<std::uint32_t>(live) + 1;
}

void peer_exchange::ask_seeds(core::instant now)
{
    this->last_asked = now;
    const auto question = asks_for_members + encode(this->head_of_report(now));
    for (const auto& seed : this->options.seeds) {
        const core::address member{.host = seed.host, .port = this->options.inner.port};
        if (member != this->options.inner) {
            this->send_to(member, question);
        }
    }
}

void peer_exchange::tick(core::instant now)
{
    this->ask_for_copy(now);
    const auto age = core::elapsed(this->started, now);
    // All start at once on the first day: the seeds learn of the others meanwhile.
    if (age < asking_time && now - this->last_asked >= std::max(first_asking, age / 2)) {
        this->ask_seeds(now);
    }
    if (now - this->last_sent < report_interval(this->members.size())) {
        return;
    }
    const bool whole = now - this->last_whole >= whole_interval(this->members.size());
    auto report = this->make_report(now, whole);
    const bool news = !report.departures.empty() || !report.endpoints.empty() || !report.parts.empty() ||
                      !report.teams.empty();
    if (!news && now - this->last_sent < idle_interval) {
        --this->sequence;
        return;
    }
    this->last_sent = now;
    if (whole) {
        this->last_whole = now;
    }
    auto bytes = for_one + encode(report);
    this->send(bytes, now);
}

void peer_exchange::welcome(const core::address& newcomer, core::instant now)
{
    auto report = this->head_of_report(now);
    for (const auto& [address, known] : this->members) {
        if (known.heard + member_silence > now && address != newcomer) {
            report.members.push_back(core::to_string(address));
        }
    }
    this->send_to(newcomer, for_one + encode(report));
}

void peer_exchange::send_to(const core::address& to, const std::string& bytes)
{
    error_code error; // a refused datagram is made good by the next one
    this->socket.send_to(asio::buffer(bytes), to_endpoint(to), 0, error);
    ++this->counted.sent;
}

void peer_exchange::pass_on(std::string_view reports)
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
        if (known.domain == this->entry.options.domain.view() && known.heard + member_silence > now) {
            this->send_to(address, bytes);
        }
    }
}

void peer_exchange::send(std::string& bytes, core::instant now)
{
    const auto hubs = this->choose_hubs(now);
    const auto own_domain = this->entry.options.domain.view();
    const auto own = hubs.find(own_domain);
    this->is_hub = own == hubs.end() || *own->second == this->options.inner;
    this->watch_own_hub(own == hubs.end() ? nullptr : own->second, now);
    if (own != hubs.end() && this->is_hub) {
        this->pass_on(std::string_view{bytes}.substr(1));
    }
    const bool greeting = now - this->last_hello >= hello_interval;
    const auto hello = greeting ? for_one + encode(this->head_of_report(now)) : std::string{};
    this->last_hello = greeting ? now : this->last_hello;
    for (auto place = this->members.begin(); place != this->members.end();) {
        const auto& [address, known] = *place;
        const auto last = std::max(known.heard, known.added);
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

void peer_exchange::take(const load_report& report, core::instant now)
{
    const auto from = core::parse_address(report.address);
    if (!from || report.instance == this->entry.options.instance.view()) {
        return;
    }
    auto& known = this->members.try_emplace(*from, member{.added = now}).first->second;
    if (known.name.empty()) {
        telemetry::write(telemetry::log_event{"peer_heard"}
                             .with("peer", report.instance)
                             .with("domain", report.domain)
                             .with("address", report.address));
    }
    known.name = report.instance;
    known.domain = report.domain;
    known.heard = now;
    known.table_version = report.table_version;
    known.list_revision = report.list_revision;
    known.list_digest = report.list_digest;
    known.store_age = milliseconds{report.store_age_ms};
    known.store_troubled = report.store_troubled;
    known.leaving = report.leaving;
    known.capacity = report.capacity;
    if (report.table_version == this->ports.table_version() &&
        report.list_digest == this->ports.list_digest()) {
        this->ports.confirm(report.list_revision, known.store_age);
    }
    for (const auto& address : report.members) {
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
                          .heard = known.heard,
                          .store_troubled = known.store_troubled,
                          .leaving = known.leaving});
    }
    const bool chosen = reads_store(this->entry.options.instance.view(), others, now);
    if (chosen != this->reading) {
        telemetry::write(
            telemetry::log_event{"store_reader"}.with("reads", chosen).with("known", others.size()));
    }
    this->reading = chosen;
    this->ports.read_store(chosen);
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
        ++this->counted.received;
        if (length == 0) {
            ++this->counted.unreadable;
            continue;
        }
        bool unreadable = false;
        const std::string_view reports{this->datagram.data() + 1, length - 1};
        const auto read = decode_all(reports, unreadable);
        this->counted.unreadable += unreadable ? 1 : 0;
        const auto now = relay::event_loop::now();
        for (const auto& report : read) {
            this->take(report, now);
        }
        const auto sender = this->members.find({.host = from.address().to_string(), .port = from.port()});
        if (sender != this->members.end()) {
            sender->second.passed_on = now;
        }
        if (this->datagram.front() == asks_for_members && !read.empty() && !unreadable) {
            this->welcome({.host = from.address().to_string(), .port = from.port()}, now);
        }
        if (this->datagram.front() == for_its_domain && !unreadable) {
            this->pass_on(reports);
        }
    }
}

} // namespace hibiscusfall::peers
