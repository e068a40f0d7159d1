#pragma once

#include "hibiscusfall/catalog/evacuations.hpp"
#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/peers/catalog_copy.hpp"
#include "hibiscusfall/peers/copy_requests.hpp"
#include "hibiscusfall/peers/load_report.hpp"
#include "hibiscusfall/peers/origin_helpers.hpp"
#include "hibiscusfall/peers/origin_messages.hpp"
#include "hibiscusfall/peers/report_batch.hpp"
#include "hibiscusfall/relay/relay_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::peers
{

/// @brief Settings of the exchange between instances.
struct exchange_options {
    core::address listen_address;     ///< Where this instance accepts datagrams and catalog connections.
    std::vector<core::address> seeds; ///< Instances contacted first to learn of the others.
    double cpu_cores = 1;             ///< CPU available to this instance, in cores.
};

/// @brief Access to the catalog; implemented by the owner of the exchange.
struct exchange_callbacks {
    /// Returns what the requester does not have.
    std::function<catalog_copy(const catalog_request&)> copy_catalog;
    std::function<void(const catalog_copy&)> apply_copy;
    std::function<std::uint64_t()> table_version;
    std::function<catalog::store_position()> list_position;
    std::function<std::uint64_t()> list_digest;
    std::function<core::duration(core::instant now)>
        configuration_age;                        ///< Time since the store last confirmed the configuration.
    std::function<bool()> store_failing;          ///< Whether the last store call failed.
    std::function<void(bool)> enable_store_reads; ///< Receives whether this instance should read the store.
    /// Called when a peer reports the same configuration. Receives the time since the peer's was confirmed.
    std::function<void(core::duration age)> confirm_configuration;
    /// Called when a peer reports the same endpoints. Receives the position up to which they are the same.
    std::function<void(catalog::store_position position)> confirm_endpoints;
    std::function<const catalog::evacuations&()> evacuations;
    /// Called when a peer knows the evacuated domains at a later position of the store.
    std::function<void(const std::set<core::failure_domain_id>& domains, catalog::store_position position)>
        apply_evacuations;
    /// Called when a peer asks this instance to store origins of streams that it relays.
    std::function<void(const core::address& peer, std::vector<dispatch::stream_origin> origins)>
        store_origins{};
    /// Called when a peer has stored an origin, under the lease given; zero if it is not known.
    std::function<void(dispatch::stream_tag stream, std::uint32_t moves, std::uint64_t lease)>
        origin_stored{};
};

/// @brief Counters of the exchange.
struct exchange_counters {
    std::uint64_t sent_datagrams = 0;
    std::uint64_t received_datagrams = 0;
    std::uint64_t malformed_datagrams = 0;
    std::uint64_t copies_applied = 0;
    std::uint64_t additional_copies = 0; ///< Requested as another source did not answer.
};

/// @brief Reports the requests that this instance placed to the other instances, and applies their reports.
/// @remarks Tolerates lost, duplicated and reordered datagrams: reports carry totals and a sequence number.
class peer_exchange
{
public:
    peer_exchange(relay::relay_server& owner, exchange_options settings, exchange_callbacks catalog_access);

    /// @brief Opens the sockets and starts the exchange.
    /// @throws boost::system::system_error If the address cannot be bound.
    void start();

    /// @brief Number of instances heard of recently, including this one.
    [[nodiscard]] std::uint32_t live_instances(core::instant now) const;

    /// @brief Adds the address of an instance to report to.
    void add_member(const core::address& member);

    /// @brief Asks a peer to store origins of streams. Nothing is sent while no peer is known to be able to.
    void hand_over(std::span<const dispatch::stream_origin> origins, core::instant now);

    /// @brief Tells a peer that origins which it has handed over are stored.
    void confirm_origins(const core::address& peer,
                         std::span<const dispatch::stream_origin> origins,
                         std::uint64_t lease);

    [[nodiscard]] const exchange_counters& counts() const noexcept { return this->counters; }

private:
    struct member {
        std::string name{}; ///< Empty until the first report from it.
        std::string domain{};
        core::instant last_heard{};
        core::instant added_at{};
        std::uint64_t table_version = 0;
        catalog::store_position list_position{};
        std::uint64_t list_digest = 0;
        core::duration configuration_age{}; ///< At the time of its last report.
        bool store_failing = false;
        bool leaving = false;
        double cpu_cores = 1;
        core::instant last_datagram{}; ///< When a datagram last came from its own socket.
        core::instant hub_since{};     ///< When this instance started to use it as the own domain's hub.
        core::instant
            excluded_as_hub_until{}; ///< It forwarded nothing as the hub; another is used until then.
    };
    using domain_hubs = std::map<std::string_view, const core::address*>;
    using udp = relay::asio::ip::udp;

    void schedule_tick();
    void tick(core::instant now);
    void request_members(core::instant now);
    void send_members(const core::address& newcomer, core::instant now);
    [[nodiscard]] load_report make_report_header(core::instant now) const;
    load_report make_report(core::instant now, bool full);
    void add_member_addresses(load_report& report, core::instant now);
    void add_endpoint_totals(load_report& report, bool full, core::instant now);
    void add_recent_work(load_report& report, bool full);
    void add_crash_findings(load_report& report, bool full, core::instant now);
    void add_cold_findings(load_report& report, core::instant now);
    void add_silent_instances(load_report& report, std::size_t most, core::instant now);
    void send(std::string& datagram, core::instant now);
    void send_to(const core::address& to, const std::string& datagram);
    void forward(std::string_view reports);
    void send_batch(const std::string& reports);
    [[nodiscard]] domain_hubs choose_hubs(core::instant now) const;
    void check_own_hub(const core::address* hub, core::instant now);
    void handle_report(const load_report& report, core::instant now);
    void choose_readers(core::instant now);
    void update_catalog(core::instant now);
    relay::asio::awaitable<void> serve_copy(relay::asio::ip::tcp::socket accepted);
    relay::asio::awaitable<void> receive();
    void apply_datagram(std::span<const char> bytes, const core::address& from, core::instant now);
    void apply_reports(char kind, std::string_view reports, const core::address& from, core::instant now);
    [[nodiscard]] bool
    apply_origin_request(std::span<const char> bytes, const core::address& from, core::instant now);
    [[nodiscard]] bool apply_origin_receipt(std::span<const char> bytes, const core::address& from);
    relay::asio::awaitable<void> serve_copies();
    void close_after_timeout(const std::shared_ptr<relay::asio::ip::tcp::socket>& connection);
    relay::asio::awaitable<void> fetch_copy(core::address from);
    void take_copy(const core::address& from,
                   const std::string& bytes,
                   const catalog_request& request,
                   catalog::store_position position);
    [[nodiscard]] bool is_replaced(const core::address& from,
                                   const std::shared_ptr<relay::asio::ip::tcp::socket>& connection) const;
    void close_copy_connections();

    relay::relay_server& entry;
    exchange_options options;
    exchange_callbacks catalog;
    udp::socket socket;
    relay::asio::ip::tcp::acceptor acceptor;
    std::map<core::address, member> members;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    core::instant last_sent{};
    core::instant last_full_report{};
    core::instant last_probe{};
    core::instant started_at{};
    core::instant last_member_request{};
    core::address last_listed_member{}; ///< The last member whose address a full report contained.
    struct reported_totals {
        std::uint64_t sent_tokens = 0;
        std::uint32_t running_requests = 0;
        std::uint32_t slowness_percent = 0;
        core::instant reported_at{};
    };
    std::unordered_map<dispatch::endpoint_tag, reported_totals> reported_endpoints;
    std::unordered_map<dispatch::team_tag, std::pair<double, double>> reported_teams;
    std::vector<sent_prompt_part> last_prompt_parts;
    std::vector<dispatch::crash_suspect> last_suspects;
    std::vector<std::pair<std::uint64_t, core::instant>> last_exonerated;
    std::vector<dispatch::crash_cause> last_tried;
    std::vector<dispatch::cold_finding> last_cold_findings;
    std::string last_silent_instance; ///< The last one that a full report named.
    std::size_t next_cause = 0;       ///< Number of the cause that the next full report contains.
    report_batch batch;               ///< Reports that this instance forwards to its domain as the hub.
    core::address own_hub{};          ///< Not set while this instance is the hub or its domain needs none.
    std::array<char, 65536> datagram{};
    copy_requests requested_copies;
    origin_helpers helpers;
    /// By source; a connection that is not here was replaced by another source's copy.
    std::map<core::address, std::shared_ptr<relay::asio::ip::tcp::socket>> copy_connections;
    bool is_hub = false; ///< Whether this instance is the hub of its domain.
    bool reading_store = true;
    exchange_counters counters;
};

} // namespace hibiscusfall::peers
