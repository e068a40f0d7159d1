#include "hibiscusfall/peers/peer_exchange.hpp"

#include "exchange_limits.hpp"

#include "hibiscusfall/peers/copy_requests.hpp"
#include "hibiscusfall/peers/report_pace.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <memory>

namespace hibiscusfall::peers
{

namespace
{

namespace asio = relay::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;
using std::chrono::milliseconds;

/// Time within which an instance that reads the store receives a new version from the store itself.
constexpr core::duration store_read_wait = milliseconds{250};
constexpr core::duration copy_timeout = milliseconds{1500};
/// Report intervals that the hub of the own domain takes to fetch a change and report it.
constexpr int hub_fetch_intervals = 3;
constexpr std::uint64_t max_copy_bytes = 32U << 20U;

constexpr auto no_source = std::numeric_limits<std::size_t>::max();

/// Index of the instance to request a copy from; @c no_source while this instance should wait.
std::size_t source_index(copy_requests& requests,
                         const copy_requester& requester,
                         std::span<const copy_candidate> candidates,
                         core::instant now)
{
    return next_copy_source(requests, requester, candidates, now).value_or(no_source);
}

} // namespace

void peer_exchange::update_catalog(core::instant now)
{
    const auto version = this->catalog.table_version();
    const auto position = this->catalog.list_position();
    const auto digest = this->catalog.list_digest();
    const bool reads_from_store = this->reading_store && !this->catalog.store_failing();
    std::vector<copy_candidate> candidates;
    for (const auto& [address, known] : this->members) {
        const bool newer_list = known.list_position > position && known.list_digest != digest;
        const bool newer = known.table_version > version || (newer_list && !reads_from_store);
        if (newer && known.last_heard + member_timeout > now) {
            candidates.push_back({.name = known.name,
                                  .list_position = known.list_position,
                                  .own_domain = known.domain == this->entry.options.domain.view(),
                                  .address = address});
        }
    }
    const copy_requester requester{
        .name = this->entry.options.instance.view(),
        .is_hub = this->is_hub,
        .hub_fetch_time = report_interval(this->members.size()) * hub_fetch_intervals,
        .own_read_time = reads_from_store ? store_read_wait : core::duration::zero()};
    const auto source = source_index(this->requested_copies, requester, candidates, now);
    if (source == no_source) {
        return;
    }
    if (this->requested_copies.pending.size() > 1) {
        ++this->counters.additional_copies;
    }
    asio::co_spawn(this->entry.loop.context(),
                   this->fetch_copy(candidates[source].address),
                   this->entry.loop.log_failure("fetch_copy"));
}

asio::awaitable<void> peer_exchange::serve_copies()
{
    while (true) {
        error_code error;
        tcp::socket accepted{this->entry.loop.context()};
        co_await this->acceptor.async_accept(accepted, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            co_await this->entry.loop.sleep(min_report_interval);
            continue;
        }
        asio::co_spawn(this->entry.loop.context(),
                       this->serve_copy(std::move(accepted)),
                       this->entry.loop.log_failure("serve_copy"));
    }
}

asio::awaitable<void> peer_exchange::serve_copy(tcp::socket accepted)
{
    const auto connection = std::make_shared<tcp::socket>(std::move(accepted));
    this->close_after_timeout(connection);
    error_code error;
    catalog_request request;
    co_await asio::async_read(*connection,
                              asio::buffer(&request, sizeof request),
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return; // the requester closed the connection; it logs the reason
    }
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, this->catalog.copy_catalog(request));
    const std::uint64_t size = buffer.size();
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(&size, sizeof size),
                                                    asio::buffer(buffer.data(), buffer.size())};
    co_await asio::async_write(*connection, buffers, asio::redirect_error(asio::use_awaitable, error));
}

void peer_exchange::close_after_timeout(const std::shared_ptr<tcp::socket>& connection)
{
    this->entry.loop.once(copy_timeout, [connection](core::instant) {
        error_code ignored;
        connection->close(ignored);
    });
}

asio::awaitable<void> peer_exchange::fetch_copy(core::address from)
{
    auto connection = std::make_shared<tcp::socket>(this->entry.loop.context());
    this->copy_connections[from] = connection;
    this->close_after_timeout(connection);
    error_code error;
    std::uint64_t size = 0;
    const catalog_request request{.table_version = this->catalog.table_version(),
                                  .list_digest = this->catalog.list_digest()};
    const auto position = this->catalog.list_position();
    const tcp::endpoint peer{asio::ip::make_address_v4(from.host), from.port};
    co_await connection->async_connect(peer, asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        co_await asio::async_write(*connection,
                                   asio::buffer(&request, sizeof request),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        co_await asio::async_read(
            *connection, asio::buffer(&size, sizeof size), asio::redirect_error(asio::use_awaitable, error));
    }
    std::string bytes;
    if (!error && size <= max_copy_bytes) {
        if (!this->is_replaced(from, connection)) {
            record_answer(this->requested_copies, from);
        }
        bytes.resize(size);
        co_await asio::async_read(
            *connection, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    }
    if (this->is_replaced(from, connection)) {
        telemetry::write(telemetry::log_event{"catalog_from_peer"}
                             .with("peer", core::to_string(from))
                             .with("outcome", "replaced by another copy"));
        co_return;
    }
    this->copy_connections.erase(from);
    if (error || bytes.empty()) {
        record_failure(this->requested_copies, from, relay::event_loop::now());
        telemetry::write(telemetry::log_event{"catalog_from_peer"}
                             .with("peer", core::to_string(from))
                             .with("bytes", size)
                             .with("outcome", "failed")
                             .with("reason", error.message()));
        co_return;
    }
    this->take_copy(from, bytes, request, position);
}

void peer_exchange::take_copy(const core::address& from,
                              const std::string& bytes,
                              const catalog_request& request,
                              catalog::store_position position)
{
    const auto now = relay::event_loop::now();
    telemetry::log_event line{"catalog_from_peer"};
    line.with("peer", core::to_string(from)).with("bytes", bytes.size());
    try {
        std::size_t offset = 0;
        const auto handle = unpack_bounded(bytes, offset);
        const auto copy = handle.get().as<catalog_copy>();
        ++this->counters.copies_applied;
        telemetry::write(line.with("outcome", "taken")
                             .with("version", copy.table_version)
                             .with("era", copy.list_era)
                             .with("revision", copy.list_revision));
        this->catalog.apply_copy(copy);
    } catch (const msgpack::unpack_error& exception) {
        record_failure(this->requested_copies, from, now);
        telemetry::write_error(line.with("outcome", "unreadable").with("reason", exception.what()));
        return;
    } catch (const msgpack::type_error& exception) {
        record_failure(this->requested_copies, from, now);
        telemetry::write_error(line.with("outcome", "unreadable").with("reason", exception.what()));
        return;
    }
    const bool newer =
        this->catalog.table_version() > request.table_version || this->catalog.list_position() > position;
    record_copy(this->requested_copies, from, newer, now);
    if (newer) {
        this->close_copy_connections();
    }
}

bool peer_exchange::is_replaced(const core::address& from,
                                const std::shared_ptr<tcp::socket>& connection) const
{
    const auto found = this->copy_connections.find(from);
    return found == this->copy_connections.end() || found->second != connection;
}

void peer_exchange::close_copy_connections()
{
    for (const auto& [source, connection] : this->copy_connections) {
        error_code ignored;
        connection->close(ignored);
    }
    this->copy_connections.clear();
}

} // namespace hibiscusfall::peers
