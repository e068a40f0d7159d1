#include "hibiscusfall/peers/peer_exchange.hpp"

#include "exchange_limits.hpp"

#include "hibiscusfall/peers/domain_hubs.hpp"
#include "hibiscusfall/peers/report_pace.hpp"
#include "hibiscusfall/peers/store_readers.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <xxhash.h>

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
/// An own hub that passed nothing on is tried again after this.
constexpr core::duration own_hub_rest = std::chrono::seconds{3};
/// Instances of a domain up to which each tells its neighbours itself: fewer datagrams than through a hub.
constexpr std::size_t most_direct = 4;
/// A slowed engine is told again after this, as others forget it after 400 ms.
constexpr core::duration slowness_interval = milliseconds{150};
/// First byte of a datagram: whether its receiver passes it on to the instances of its domain, or answers
/// with all the members that it knows.
constexpr char for_one = '1';
constexpr char for_its_domain = 'D';
constexpr char asks_for_members = 'M';
/// After its start an instance asks the seeds for members for this long.
constexpr core::duration asking_time = std::chrono::seconds{5};
/// It asks again after this, and then after ever longer times.
constexpr core::duration first_asking = milliseconds{60};
/// Members that a whole report names, in turn, so that views which differ meet again.
constexpr std::size_t named_members = 4;
/// Members that are not heard, or not yet, are told this often that this instance lives.
constexpr core::duration hello_interval = milliseconds{1000};
constexpr std::size_t most_parts = 200;

/// Stands for an age that is not known.
constexpr std::uint32_t unknown_age_ms = 3600000;

udp::endpoint to_endpoint(const core::address& at)
{
    return {asio::ip::make_address_v4(at.host), at.port};
}

/// The instances of one failure domain, and where each of them takes datagrams.
struct known_domain {
    std::vector<hub_candidate> instances;
    std::vector<const core::address*> addresses;
};

/// Where the domain's hub takes datagrams; null for none.
const core::address* hub_address(const known_domain& domain)
{
    const auto chosen = choose_hub(domain.instances);
    return chosen.has_value() ? domain.addresses[*chosen] : nullptr;
}

std::uint32_t to_milliseconds(core::duration value)
{
    const auto count = std::chrono::duration_cast<milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, unknown_age_ms));
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

load_report peer_exchange::make_report(core::instant now, bool whole)
{
    ++this->sequence;
    auto report = this->head_of_report(now);
    this->add_totals(report, whole, now);
    this->add_work(report, whole);
    if (whole) {
        this->add_some_members(report, now);
    }
    return report;
}

load_report peer_exchange::head_of_report(core::instant now) const
{
    return {.instance = this->entry.options.instance.str(),
            .incarnation = this->incarnation,
            .sequence = this->sequence,
            .domain = this->entry.options.domain.str(),
            .address = core::to_string(this->options.inner),
            .table_version = this->ports.table_version(),
            .list_revision = this->ports.list_revision(),
            .list_digest = this->ports.list_digest(),
            .store_age_ms = to_milliseconds(this->ports.store_age(now)),
            .store_troubled = this->ports.store_troubled(),
            .leaving = this->entry.leaving,
            .capacity = this->options.capacity};
}

void peer_exchange::add_some_members(load_report& report, core::instant now)
{
    auto next = this->members.upper_bound(this->last_named);
    for (std::size_t looked = 0; looked < this->members.size() && report.members.size() < named_members;
         ++looked) {
        next = next == this->members.end() ? this->members.begin() : next;
        if (next->second.heard + member_silence > now) {
            report.members.push_back(core::to_string(next->first));
            this->last_named = next->first;
        }
        ++next;
    }
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

void peer_exchange::add_totals(load_report& report, bool whole, core::instant now)
{
    for (const auto& state : this->entry.book.endpoints) {
        const double slowness = dispatch::own_slowness(state.pace, now);
        const auto percent = static_cast<std::uint32_t>(100.0 * slowness);
        auto& last = this->told[state.tag];
        const bool slowed = dispatch::is_slowed(slowness);
        const bool pace_news =
            (percent > 0 && slowed != dispatch::is_slowed(last.slowness_percent / 100.0)) ||
            (slowed && now - last.at >= slowness_interval);
        if (!whole && !pace_news && last.sent == state.own_sent_total &&
            last.running == state.model.own_running) {
            continue;
        }
        last = {.sent = state.own_sent_total,
                .running = state.model.own_running,
                .slowness_percent = percent > 0 ? percent : last.slowness_percent,
                .at = now};
        report.endpoints.push_back(
            {.endpoint = state.tag, .sent = last.sent, .running = last.running, .slowness_percent = percent});
    }
}

void peer_exchange::add_work(load_report& report, bool whole)
{
    auto& work = this->entry.work;
    for (const auto& [team, totals] : work.teams) {
        auto& last = this->told_teams[team];
        if (whole || last != totals) {
            last = totals;
            report.teams.push_back({.team = team, .asked = totals.first, .given = totals.second});
        }
    }
    // Parts go out twice, as a lost datagram would otherwise leave them unknown until their next use.
    report.parts = std::move(this->last_parts);
    this->last_parts.clear();
    for (const auto& [part, endpoint] : work.parts) {
        this->last_parts.push_back({.part = part, .endpoint = endpoint});
    }
    work.parts.clear();
    if (this->last_parts.size() > most_parts) {
        this->last_parts.erase(this->last_parts.begin(), this->last_parts.end() - most_parts);
    }
    report.parts.insert(report.parts.end(), this->last_parts.begin(), this->last_parts.end());
    report.departures = std::exchange(work.departures, {});
    if (whole) {
        report.departures.clear();
        for (const auto& [endpoint, at] : this->entry.book.leaving.announced) {
            report.departures.push_back(endpoint);
        }
    }
}

peer_exchange::domain_hubs peer_exchange::choose_hubs(core::instant now) const
{
    std::map<std::string_view, known_domain> domains;
    const auto own_domain = this->entry.options.domain.view();
    auto& own = domains[own_domain];
    own.instances.push_back({.name = this->entry.options.instance.view(),
                             .capacity = this->options.capacity,
                             .heard = now,
                             .leaving = this->entry.leaving});
    own.addresses.push_back(&this->options.inner);
    for (const auto& [address, each] : this->members) {
        if (each.name.empty() || each.heard + member_silence < now) {
            continue;
        }
        auto& domain = domains[each.domain];
        // Neighbours are heard through the own hub; whether that one works is watched by itself.
        domain.instances.push_back({.name = each.name,
                                    .capacity = each.capacity,
                                    .heard = each.domain == own_domain ? now : each.heard,
                                    .leaving = each.leaving,
                                    .silent_hub = each.silent_until > now});
        domain.addresses.push_back(&address);
    }
    domain_hubs hubs;
    for (const auto& [name, domain] : domains) {
        const bool direct = name == own_domain && domain.instances.size() <= most_direct;
        if (const auto* hub = direct ? nullptr : hub_address(domain)) {
            hubs.emplace(name, hub);
        }
    }
    return hubs;
}

void peer_exchange::watch_own_hub(const core::address* hub, core::instant now)
{
    const bool is_self = hub == nullptr || *hub == this->options.inner;
    const core::address chosen = is_self ? core::address{} : *hub;
    if (chosen != this->own_hub) {
        this->own_hub = chosen;
        telemetry::write(telemetry::log_event{"hub"}
                             .with("domain", this->entry.options.domain.view())
                             .with("hub", is_self ? "none or itself" : core::to_string(chosen)));
        if (!is_self) {
            this->members[chosen].hub_since = now;
        }
    }
    if (is_self) {
        return;
    }
    auto& used = this->members[chosen];
    if (now - std::max(used.hub_since, used.passed_on) > own_hub_silence(this->members.size())) {
        used.silent_until = now + own_hub_rest;
    }
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
