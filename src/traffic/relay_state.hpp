#pragma once

#include "endpoint_pool.hpp"

#include "hibiscusfall/traffic/caller_server.hpp"
#include "hibiscusfall/traffic/endpoint_rests.hpp"
#include "hibiscusfall/traffic/waiting_limits.hpp"

#include <boost/asio/thread_pool.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusfall::traffic::detail
{

/// @brief How far a graceful shutdown has come.
enum class closing_phase : std::uint8_t {
    open,    ///< Requests are taken.
    closing, ///< New requests are refused; those read before are finished.
    late,    ///< Requests that still wait for a slot are refused.
    cutting  ///< Requests that still run end with an error.
};

/// @brief What all requests of one callers' interface share.
class relay_state
{
public:
    relay_state(const caller_server_options& given, traffic_ports given_ports);

    const caller_server_options options;
    const traffic_ports ports;
    endpoint_pool pool;
    traffic_counters counters;
    std::atomic<closing_phase> phase = closing_phase::open;
    boost::asio::thread_pool cancels; ///< Sends cancel orders that nobody waits for.

    [[nodiscard]] bool leaving() const noexcept { return this->phase != closing_phase::open; }

    /// @name Waiting for slots
    [[nodiscard]] std::optional<core::verdict> check_waiting_room(const core::team_id& team);
    [[nodiscard]] std::optional<core::verdict> enter_waiting(const core::team_id& team);
    void leave_waiting(const core::team_id& team);

    /// @name Retries and hedges
    void note_request();
    [[nodiscard]] retry_decision decide(const failed_attempt& failed);
    [[nodiscard]] retry_decision decide(const stranded_stream& stranded);

    /// @name Endpoints that said when to come back
    void note_rest(const core::endpoint_id& endpoint, core::duration retry_after);
    [[nodiscard]] std::vector<core::endpoint_id> resting_endpoints();
    [[nodiscard]] bool spend_hedge();
    [[nodiscard]] std::optional<core::duration> hedge_after(const core::service_id& service, bool streamed);
    void note_first_byte(const core::service_id& service, bool streamed, core::duration first_byte);

private:
    /// Streams and whole answers of a service have first bytes at different times.
    struct estimate_key {
        core::service_id service;
        bool streamed = false;
        [[nodiscard]] friend auto operator<=>(const estimate_key&, const estimate_key&) = default;
    };

    std::mutex mutex;
    waiting_limits waiting;
    endpoint_rests rests;
    request_budget retry_budget;
    request_budget hedge_budget;
    std::map<estimate_key, first_byte_estimate> estimates; ///< Only services of the configuration.
};

/// @brief Counts a request as waiting while it lives.
class waiting_place
{
public:
    waiting_place(relay_state& given, const core::team_id& team)
        : state(given), owner(team), refused(given.enter_waiting(team))
    {
    }
    ~waiting_place();
    waiting_place(const waiting_place&) = delete;
    waiting_place& operator=(const waiting_place&) = delete;

    /// @brief Why the request may not wait; nothing when it may.
    [[nodiscard]] const std::optional<core::verdict>& refusal() const noexcept { return this->refused; }

private:
    relay_state& state;
    const core::team_id& owner;
    std::optional<core::verdict> refused;
};

} // namespace hibiscusfall::traffic::detail
