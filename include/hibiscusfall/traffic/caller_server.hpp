#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/traffic/hedge_policy.hpp"
#include "hibiscusfall/traffic/retry_policy.hpp"
#include "hibiscusfall/traffic/traffic_counters.hpp"
#include "hibiscusfall/traffic/traffic_ports.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hibiscusfall::traffic
{

/// @brief Bounds and times of the callers' interface.
struct caller_server_options {
    core::address listen;
    core::instance_id instance;
    std::uint32_t header_bytes = 16384;
    std::uint32_t body_bytes = 1048576;
    std::uint32_t connections = 800;
    core::duration default_deadline = std::chrono::seconds{60};
    core::duration idle_timeout = std::chrono::seconds{30};     ///< Longest wait between two requests.
    core::duration caller_timeout = std::chrono::seconds{30};   ///< To send a request, to take a piece.
    core::duration endpoint_timeout = std::chrono::seconds{30}; ///< Longest silence within an answer.
    core::duration connect_timeout = std::chrono::seconds{2};
    std::string connect_from; ///< Local IP number of connections to endpoints; empty for any.
    std::uint32_t queue_per_team = 64;
    std::uint32_t queue_total = 1024;
    std::uint32_t answer_bytes = 16777216;   ///< Largest answer that is read whole before it is passed on.
    std::uint32_t kept_answer_bytes = 65536; ///< Largest answer that is handed to the claims.
    retry_limits retries{};
    double retry_fraction = 0.1;
    hedge_limits hedges{};
    double hedge_fraction = 0.05;
    double extra_reserve = 10.0;           ///< Retries, and hedges, that may be saved up.
    std::uint32_t resumes = 5;             ///< Resume attempts of one stream without a new event.
    std::uint32_t resumes_before_move = 2; ///< As resumes, when another engine may go on with the stream.
    core::duration progress_interval = std::chrono::milliseconds{250};
    core::duration closing_grace = std::chrono::milliseconds{250}; ///< Late requests are refused, not cut.
};

/// @brief The HTTP interface for callers: one thread for each connection.
class caller_server
{
public:
    caller_server(const caller_server_options& options, traffic_ports ports);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// @brief Starts to accept.
    /// @returns Nothing when it worked, otherwise why it did not.
    [[nodiscard]] std::optional<std::string> start();

    /// @brief Takes no new requests and waits for those that were read before.
    /// @returns Whether all ended within the limit and none was cut off.
    /// @remarks Requests that arrive during the closing grace are refused as not run. Those that still wait
    /// for a slot near the limit are refused as not run; those that still run then end with an error.
    bool stop(core::duration limit);

    /// @brief The address in use; its port is the chosen one when port 0 was asked for.
    [[nodiscard]] core::address address() const;

    /// @brief What was done so far; valid as long as the server.
    [[nodiscard]] const traffic_counters& counters() const noexcept;

private:
    struct state;
    std::shared_ptr<state> shared;
};

} // namespace hibiscusfall::traffic
