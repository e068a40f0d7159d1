#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/peers/catalog_copy.hpp"
#include "hibiscusfall/peers/load_report.hpp"
#include "hibiscusfall/peers/report_batch.hpp"
#include "hibiscusfall/relay/entry.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusfall::peers
{

/// @brief Settings of the exchange between instances.
struct exchange_options {
    core::address inner;              ///< Where this instance takes datagrams and connections.
    std::vector<core::address> seeds; ///< Told first; they tell the others.
    double capacity = 1;              ///< Part of a core that this instance has.
};

/// @brief How the exchange reads and takes over what the store says; set by its owner.
struct exchange_ports {
    std::function<catalog_copy(const known_catalog&)> copy; ///< What the asker does not know.
    std::function<void(const catalog_copy&)> take;
    std::function<std::uint64_t()> table_version;
    std::function<std::uint64_t()> list_revision;
    std::function<std::uint64_t()> list_digest;
    std::function<core::duration(core::instant now)>
        store_age;                        ///< Since the store confirmed the configuration.
    std::function<bool()> store_troubled; ///< Whether the last call of the store failed.
    std::function<void(bool)> read_store; ///< Told whether this instance is to read the store.
    /// Told that a peer that reads the store knows the same endpoints, up to a revision, and how old its
    /// configuration, which is the same too, was when it was last confirmed.
    std::function<void(std::uint64_t revision, core::duration age)> confirm;
};

/// @brief Counts of the exchange.
struct exchange_counters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t unreadable = 0;
    std::uint64_t copies_taken = 0;
};

/// @brief Tells the other instances what this one placed, and learns the same of them.
/// @remarks Loss, doubling and crossing of datagrams are harmless: they carry totals and a sequence number.
class peer_exchange
{
public:
    peer_exchange(relay::entry& owner, exchange_options settings, exchange_ports connections);

    /// @brief Opens the sockets and begins.
    /// @throws boost::system::system_error When the address cannot be bound.
    void start();

    /// @brief Instances heard of lately, this one included.
    [[nodiscard]] std::uint32_t live_instances(core::instant now) const;

    /// @brief Addresses to tell, learned from elsewhere.
    void add_member(const core::address& member);

    [[nodiscard]] const exchange_counters& counts() const noexcept { return this->counted; }

private:
    struct member {
        std::string name{}; ///< Empty until it was heard.
        std::string domain{};
        core::instant heard{};
        core::instant added{};
        std::uint64_t table_version = 0;
        std::uint64_t list_revision = 0;
        std::uint64_t list_digest = 0;
        core::duration store_age{}; ///< When it was heard.
        bool store_troubled = false;
        bool leaving = false;
        double capacity = 1;
        core::instant passed_on{};    ///< When a datagram came from its own socket.
        core::instant hub_since{};    ///< When this instance began to use it as the hub of the own domain.
        core::instant silent_until{}; ///< It passed nothing on as a hub; another one is used until then.
    };
    using domain_hubs = std::map<std::string_view, const core::address*>;
    using udp = relay::asio::ip::udp;

    void arm_tick();
    void tick(core::instant now);
    void ask_seeds(core::instant now);
    void welcome(const core::address& newcomer, core::instant now);
    [[nodiscard]] load_report head_of_report(core::instant now) const;
    load_report make_report(core::instant now, bool whole);
    void add_some_members(load_report& report, core::instant now);
    void add_totals(load_report& report, bool whole, core::instant now);
    void add_work(load_report& report, bool whole);
    void send(std::string& datagram, core::instant now);
    void send_to(const core::address& to, const std::string& datagram);
    void pass_on(std::string_view reports);
    void send_batch(const std::string& reports);
    [[nodiscard]] domain_hubs choose_hubs(core::instant now) const;
    void watch_own_hub(const core::address* hub, core::instant now);
    void take(const load_report& report, core::instant now);
    void choose_readers(core::instant now);
    void ask_for_copy(core::instant now);
    relay::asio::awaitable<void> serve_copy(relay::asio::ip::tcp::socket asked);
    relay::asio::awaitable<void> receive();
    relay::asio::awaitable<void> serve_copies();
    void close_after_limit(const std::shared_ptr<relay::asio::ip::tcp::socket>& connection);
    relay::asio::awaitable<void> fetch_copy(core::address from);

    relay::entry& entry;
    exchange_options options;
    exchange_ports ports;
    udp::socket socket;
    relay::asio::ip::tcp::acceptor acceptor;
    std::map<core::address, member> members;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    core::instant last_sent{};
    core::instant last_whole{};
    core::instant last_hello{};
    core::instant started{};
    core::instant last_asked{};
    core::address last_named{}; ///< The last member that a whole report named.
    struct told_totals {
        std::uint64_t sent = 0;
        std::uint32_t running = 0;
        std::uint32_t slowness_percent = 0;
        core::instant at{};
    };
    std::unordered_map<dispatch::endpoint_tag, told_totals> told;
    std::unordered_map<dispatch::team_tag, std::pair<double, double>> told_teams;
    std::vector<part_sent> last_parts;
    report_batch batch;      ///< Reports that this instance passes on to its domain, as their hub.
    core::address own_hub{}; ///< Not set while this instance is the hub, or its domain needs none.
    std::array<char, 65536> datagram{};
    bool fetching = false;
    bool is_hub = false; ///< Whether this instance is the hub of its domain.
    core::instant behind_since = core::instant::max();
    bool reading = true;
    exchange_counters counted;
};

} // namespace hibiscusfall::peers
