#include "hibiscusfall/peers/peer_exchange.hpp"

#include "hibiscusfall/peers/store_readers.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <xxhash.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstring>

namespace hibiscusfall::peers
{

namespace
{

namespace asio = relay::asio;
using asio::ip::tcp;
using asio::ip::udp;
using error_code = boost::system::error_code;
using std::chrono::milliseconds;

/// Changes are told this soon; a placement at another instance within it is not known here.
constexpr core::duration least_interval = milliseconds{8};
/// Added to the interval for each member, so that the fleet's datagrams grow with its size and not its
/// square.
constexpr core::duration interval_for_member = milliseconds{1};
/// An instance that has nothing to tell says at least this often that it lives.
constexpr core::duration idle_interval = milliseconds{100};
constexpr core::duration whole_interval = milliseconds{500};
/// A member that was not heard for this long is told of less often, and later forgotten.
constexpr core::duration member_silence = std::chrono::seconds{3};
constexpr core::duration member_memory = std::chrono::seconds{60};
/// Time in which an instance hears of a new version from the store itself.
constexpr core::duration behind_limit = milliseconds{250};
/// Who reads the store is looked at this often.
constexpr core::duration reader_interval = milliseconds{100};
/// An instance that starts hears of the others before it reads the store itself: they answer within 100 ms.
constexpr core::duration first_choice = milliseconds{250};
constexpr core::duration copy_limit = milliseconds{1500};
/// Silence after which another instance of a domain is told in place of the one that told its neighbours.
constexpr core::duration representative_silence = milliseconds{600};
/// First byte of a datagram: whether its receiver passes it on to the instances of its domain.
constexpr char for_one = '1';
constexpr char for_its_domain = 'D';
constexpr std::size_t most_parts = 200;
constexpr std::uint64_t largest_copy = 32U << 20U;

/// Stands for an age that is not known.
constexpr std::uint32_t unknown_age_ms = 3600000;

udp::endpoint to_endpoint(const core::address& at)
{
    return {asio::ip::make_address_v4(at.host), at.port};
}

core::duration interval(std::size_t members)
{
    return least_interval + interval_for_member * static_cast<int>(members);
}

std::uint32_t to_milliseconds(core::duration value)
{
    const auto count = std::chrono::duration_cast<milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, unknown_age_ms));
}

asio::awaitable<void> send_copy(tcp::socket to, std::string bytes)
{
    std::uint64_t size = bytes.size();
    std::array<char, sizeof size> head{};
    std::memcpy(head.data(), &size, sizeof size);
    error_code error;
    const std::array<asio::const_buffer, 2> pieces{asio::buffer(head), asio::buffer(bytes)};
    co_await asio::async_write(to, pieces, asio::redirect_error(asio::use_awaitable, error));
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
    this->acceptor.open(tcp::v4());
    this->acceptor.set_option(tcp::acceptor::reuse_address{true});
    this->acceptor.bind({at.address(), at.port()});
    this->acceptor.listen();
    asio::co_spawn(this->entry.loop.context(), this->receive(), asio::detached);
    asio::co_spawn(this->entry.loop.context(), this->serve_copies(), asio::detached);
    this->entry.loop.every(least_interval, [this](core::instant now) { this->tick(now); });
    this->ports.read_store(false);
    this->entry.loop.once(first_choice, [this](core::instant first) {
        this->choose_readers(first);
        this->entry.loop.every(reader_interval, [this](core::instant now) { this->choose_readers(now); });
    });
}

std::uint32_t peer_exchange::live_instances(core::instant now) const
{
    const auto live = std::count_if(this->members.begin(), this->members.end(), [now](const auto& each) {
        return each.second.heard + member_silence > now;
    });
    return static_cast<std::uint32_t>(live) + 1;
}

void peer_exchange::tick(core::instant now)
{
    this->ask_for_copy(now);
    if (now - this->last_sent < interval(this->members.size())) {
        return;
    }
    const bool whole = now - this->last_whole >= whole_interval;
    auto report = this->make_report(now, whole);
    const bool news = !report.endpoints.empty() || !report.parts.empty() || !report.teams.empty();
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
    load_report report{.instance = this->entry.options.instance.str(),
                       .incarnation = this->incarnation,
                       .sequence = ++this->sequence,
                       .domain = this->entry.options.domain.str(),
                       .address = core::to_string(this->options.inner),
                       .table_version = this->ports.table_version(),
                       .list_revision = this->ports.list_revision(),
                       .list_digest = this->ports.list_digest(),
                       .store_age_ms = to_milliseconds(this->ports.store_age(now)),
                       .store_troubled = this->ports.store_troubled(),
                       .leaving = this->entry.leaving};
    for (const auto& state : this->entry.book.endpoints) {
        const std::pair totals{state.own_sent_total, state.model.own_running};
        auto& last = this->told[state.tag];
        if (whole || last != totals) {
            last = totals;
            report.endpoints.push_back(
                {.endpoint = state.tag, .sent = totals.first, .running = totals.second});
        }
    }
    this->add_work(report, whole);
    if (whole) {
        for (const auto& [address, known] : this->members) {
            if (known.heard + member_silence > now) {
                report.members.push_back(core::to_string(address));
            }
        }
    }
    return report;
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
}

std::map<std::string_view, const core::address*> peer_exchange::representatives(core::instant now) const
{
    const auto seed =
        XXH64(this->entry.options.instance.view().data(), this->entry.options.instance.view().size(), 0);
    std::map<std::string_view, std::pair<std::uint64_t, const core::address*>> best;
    for (const auto& [address, known] : this->members) {
        if (known.name.empty() || known.leaving || known.heard + representative_silence < now ||
            known.domain == this->entry.options.domain.view()) {
            continue;
        }
        const auto rank = XXH64(known.name.data(), known.name.size(), seed);
        auto& chosen = best[known.domain];
        if (chosen.second == nullptr || rank < chosen.first) {
            chosen = {rank, &address};
        }
    }
    std::map<std::string_view, const core::address*> result;
    for (const auto& [domain, chosen] : best) {
        result.emplace(domain, chosen.second);
    }
    return result;
}

void peer_exchange::send_to(const core::address& to, const std::string& bytes)
{
    error_code error; // a refused datagram is made good by the next one
    this->socket.send_to(asio::buffer(bytes), to_endpoint(to), 0, error);
    ++this->counted.sent;
}

void peer_exchange::forward(std::string& bytes, core::instant now)
{
    bytes.front() = for_one;
    for (const auto& [address, known] : this->members) {
        if (known.domain == this->entry.options.domain.view() && known.heard + member_silence > now) {
            this->send_to(address, bytes);
        }
    }
}

void peer_exchange::send(std::string& bytes, core::instant now)
{
    const auto chosen = this->representatives(now);
    for (auto place = this->members.begin(); place != this->members.end();) {
        const auto& known = place->second;
        const auto last = std::max(known.heard, known.added);
        if (last + member_memory < now) {
            place = this->members.erase(place);
            continue;
        }
        // A silent member may be back behind a cut: it is told with the whole reports, like one not heard
        // yet.
        const bool silent = known.name.empty() || last + member_silence < now;
        const auto representative = chosen.find(known.domain);
        const bool elsewhere = !silent && known.domain != this->entry.options.domain.view();
        const bool represented = elsewhere && representative != chosen.end();
        const bool represents = represented && representative->second == &place->first;
        if (represents || (!represented && (!silent || this->last_whole == now))) {
            bytes.front() = represents ? for_its_domain : for_one;
            this->send_to(place->first, bytes);
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

void peer_exchange::ask_for_copy(core::instant now)
{
    if (this->fetching) {
        return;
    }
    const auto version = this->ports.table_version();
    const auto revision = this->ports.list_revision();
    const auto digest = this->ports.list_digest();
    const bool reads_well = this->reading && !this->ports.store_troubled();
    const core::address* best = nullptr;
    std::uint64_t newest = 0;
    for (const auto& [address, known] : this->members) {
        const bool newer_list = known.list_revision > revision && known.list_digest != digest;
        const bool ahead = known.table_version > version || (newer_list && !reads_well);
        if (ahead && known.heard + member_silence > now && known.list_revision >= newest) {
            newest = known.list_revision;
            best = &address;
        }
    }
    if (best == nullptr) {
        this->behind_since = core::instant::max();
        return;
    }
    this->behind_since = std::min(this->behind_since, now);
    if (now - this->behind_since < (reads_well ? behind_limit : core::duration::zero())) {
        return;
    }
    this->behind_since = core::instant::max();
    this->fetching = true;
    asio::co_spawn(this->entry.loop.context(), this->fetch_copy(*best), asio::detached);
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
        const auto report = length == 0 ? std::nullopt : decode({this->datagram.data() + 1, length - 1});
        if (!report) {
            ++this->counted.unreadable;
            continue;
        }
        const auto now = relay::event_loop::now();
        this->take(*report, now);
        if (this->datagram.front() == for_its_domain) {
            std::string bytes{this->datagram.data(), length};
            this->forward(bytes, now);
        }
    }
}

asio::awaitable<void> peer_exchange::serve_copies()
{
    while (true) {
        error_code error;
        tcp::socket asked{this->entry.loop.context()};
        co_await this->acceptor.async_accept(asked, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            co_await this->entry.loop.sleep(least_interval);
            continue;
        }
        msgpack::sbuffer buffer;
        msgpack::pack(buffer, this->ports.copy());
        asio::co_spawn(this->entry.loop.context(),
                       send_copy(std::move(asked), std::string{buffer.data(), buffer.size()}),
                       asio::detached);
    }
}

asio::awaitable<void> peer_exchange::fetch_copy(core::address from)
{
    auto connection = std::make_shared<tcp::socket>(this->entry.loop.context());
    this->entry.loop.once(copy_limit, [connection](core::instant) {
        error_code ignored;
        connection->close(ignored);
    });
    error_code error;
    std::uint64_t size = 0;
    std::array<char, sizeof size> head{};
    const tcp::endpoint where{asio::ip::make_address_v4(from.host), from.port};
    co_await connection->async_connect(where, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        co_await asio::async_read(
            *connection, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
        std::memcpy(&size, head.data(), sizeof size);
    }
    std::string bytes;
    if (!error && size <= largest_copy) {
        bytes.resize(size);
        co_await asio::async_read(
            *connection, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    }
    this->fetching = false;
    telemetry::log_event line{"catalog_from_peer"};
    line.with("peer", core::to_string(from)).with("bytes", size);
    if (error || bytes.empty()) {
        telemetry::write(line.with("outcome", "failed").with("reason", error.message()));
        co_return;
    }
    try {
        const auto handle = unpack_bounded(bytes);
        const auto copy = handle.get().as<catalog_copy>();
        ++this->counted.copies_taken;
        telemetry::write(line.with("outcome", "taken")
                             .with("version", copy.table_version)
                             .with("revision", copy.list_revision));
        this->ports.take(copy);
    } catch (const msgpack::unpack_error& problem) {
        telemetry::write_error(line.with("outcome", "unreadable").with("reason", problem.what()));
    } catch (const msgpack::type_error& problem) {
        telemetry::write_error(line.with("outcome", "unreadable").with("reason", problem.what()));
    }
}

} // namespace hibiscusfall::peers
