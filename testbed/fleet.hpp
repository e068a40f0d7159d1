#pragma once

#include "hibiscusfall/core/address.hpp"
#include "testbed/child_process.hpp"
#include "testbed/http_caller.hpp"
#include "testbed/loopback_block.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::testbed
{

/// @brief The secret that the instances of a deployment share.
inline constexpr std::string_view fleet_secret = "testbed-fleet-secret";

/// @brief Settings as written to an INI file: values by key, by section.
using ini_text = std::map<std::string, std::map<std::string, std::string>>;

/// @brief One service to declare.
struct service_plan {
    std::string name;
    bool plain = false;
    bool repeatable = true;
    double worth = 1;
    double token_worth = 0;
    bool resume_elsewhere = false;
};

/// @brief One endpoint stand-in to start and to declare.
struct endpoint_plan {
    std::string name;
    std::string service;
    std::string domain;
    int slots = 4;
    std::vector<std::string> arguments; ///< Further arguments of the stand-in.
    bool checks_fencing = false;        ///< Whether it refuses orders with an old fencing number.
};

/// @brief One router to start.
struct router_plan {
    std::string name;
    std::string domain;
    ini_text settings; ///< Added to, or in place of, the generated ones.
};

/// @brief One team to create. Its callers use the token "<name>-token".
struct team_plan {
    std::string name;
    double share = 1;
    std::string home;
};

/// @brief What the fault proxy does on links from some places to others. A place is a router, an endpoint,
/// "store", a failure domain, "platform" (the store's group), or "*".
struct link_fault {
    std::string from = "*";
    std::string to = "*";
    bool across = false; ///< Only links between two different failure domains.
    double delay_ms = 0;
    double drop = 0;      ///< Part of datagrams lost, 0..1.
    double duplicate = 0; ///< Part of datagrams that come twice, 0..1.
    bool cut = false;
    std::uint64_t close_after_bytes = 0; ///< TCP connections are closed after so many bytes; 0 for never.
};

/// @brief A whole deployment.
struct fleet_options {
    std::string programs; ///< Folder of the built programs.
    std::string folder;   ///< Where settings and logs go; a new temporary folder when empty.
    std::vector<service_plan> services;
    std::vector<endpoint_plan> endpoints;
    std::vector<router_plan> routers;
    std::vector<team_plan> teams;
    bool through_proxy = false;     ///< Whether links between the parts go through the fault proxy.
    std::vector<link_fault> faults; ///< From the start on; needs through_proxy.
    ini_text settings;              ///< For every router, added to, or in place of, the generated ones.
};

/// @brief The answer to one operator command.
struct command_answer {
    std::string outcome; ///< "accepted", "answered", "refused", or "unreachable".
    std::string reason;
    std::uint64_t revision = 0;
    std::vector<std::string> columns;
    std::vector<std::vector<std::string>> rows;

    [[nodiscard]] bool accepted() const { return this->outcome == "accepted"; }

    /// @brief A cell of the row whose first cell is @p row; empty when there is none.
    [[nodiscard]] std::string cell(std::string_view row, std::string_view column) const;
};

/// @brief A router process and where it listens.
struct router_process {
    router_plan plan;
    core::address callers;
    core::address operators;
    core::address inner;
    std::string settings_file;
    std::optional<child_process> process;
};

/// @brief An endpoint stand-in and where it listens.
struct endpoint_process {
    endpoint_plan plan;
    core::address address;
    std::optional<child_process> process;
};

/// @brief A deployment of real processes on loopback addresses of its own.
///
/// @code
/// fleet deployment(two_domains(programs));
/// deployment.start();
/// const auto answer = send(deployment.completion("huts", 0, 5));
/// @endcode
class fleet
{
public:
    explicit fleet(fleet_options given);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// @name Life
    /// @brief Starts everything, declares the configuration and waits until every router is ready.
    /// @remarks Throws std::runtime_error that names what did not come up.
    void start();

    /// @brief Sends SIGTERM to every router and waits for them.
    /// @returns The exit codes by router; nothing for one that did not end in time.
    std::vector<std::optional<int>> stop_routers(std::chrono::milliseconds limit = std::chrono::seconds{40});

    void start_store();
    void start_router(std::size_t index);
    void start_endpoint(std::size_t index);

    /// @name Parts
    [[nodiscard]] std::vector<router_process>& routers() noexcept { return this->router_list; }
    [[nodiscard]] std::vector<endpoint_process>& endpoints() noexcept { return this->endpoint_list; }
    [[nodiscard]] endpoint_process& endpoint(std::string_view name);
    [[nodiscard]] std::optional<child_process>& store() noexcept { return this->store_process; }
    [[nodiscard]] core::address store_address() const;
    [[nodiscard]] const std::string& folder() const noexcept { return this->options.folder; }
    [[nodiscard]] const loopback_block& block() const noexcept { return this->addresses; }

    /// @name Faults, with through_proxy
    /// @brief Sets the faults in place of all earlier ones.
    void set_faults(const std::vector<link_fault>& faults);

    /// @brief Cuts a failure domain off from all others and from the platform, beside the first faults.
    void cut_off(const std::string& domain);

    /// @brief Goes back to the faults of the start.
    void heal() { this->set_faults(this->options.faults); }

    /// @name Calls
    /// @brief Runs one operator command at a router.
    command_answer command(const std::string& text, std::size_t router = 0);

    /// @brief Whether a router says that it is ready.
    [[nodiscard]] bool ready(std::size_t router) const;

    /// @brief A streamed completion.
    [[nodiscard]] http_call completion(const std::string& team, std::size_t router, int tokens) const;

    /// @brief A call of a plain service with an idempotency key.
    [[nodiscard]] http_call
    booking(const std::string& team, std::size_t router, const std::string& key) const;

    /// @brief The log of a router, "store" or an endpoint.
    [[nodiscard]] std::string log_of(const std::string& name) const;

private:
    /// @brief Where others reach a part: itself, or the proxy in front of it.
    [[nodiscard]] core::address reached(const core::address& listen) const;
    [[nodiscard]] core::address store_for(std::size_t router) const;
    void start_proxy();
    [[nodiscard]] std::string write_proxy_plan() const;
    [[nodiscard]] ini_text settings_of(const router_process& router) const;
    [[nodiscard]] std::string plain_service() const;
    [[nodiscard]] std::string model_service() const;
    void declare_all();
    void require(const std::string& command);
    [[noreturn]] void fail(const std::string& what) const;

    fleet_options options;
    bool owns_folder = false;
    std::uint64_t last_change = 0;
    loopback_block addresses;
    std::optional<child_process> store_process;
    std::optional<child_process> proxy_process;
    std::vector<endpoint_process> endpoint_list;
    std::vector<router_process> router_list;
};

} // namespace hibiscusfall::testbed
