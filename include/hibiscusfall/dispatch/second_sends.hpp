#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/fleet_state.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief Times from sending to the first event or response of a route's recent first attempts.
struct answer_times {
    static constexpr std::size_t capacity = 200;
    struct sample {
        core::duration time{};
        core::instant at{};
    };
    std::array<sample, capacity> samples{};
    std::uint32_t count = 0; ///< Samples held.
    std::uint32_t next = 0;  ///< Position of the next sample.
};

/// @brief What an instance keeps to decide about second sends: sends of a request to another endpoint while
/// the first one has not answered.
struct second_sends {
    std::map<std::string, answer_times, std::less<>> by_route;
    std::map<core::service_id, double> credit; ///< Second sends that each service may still make.
};

/// @brief Records a request of a service, which earns it @p limit of a second send.
/// @param limit Share of a service's requests that may be sent twice.
void record_request(second_sends& known, const core::service_id& service, double limit);

/// @brief Records how long a first attempt took to its first event or response.
/// @remarks An attempt that was given up counts with the time that it had waited. Without these, the delay
/// would fall with each second send that wins.
void record_answer_time(second_sends& known, std::string_view route, core::duration time, core::instant now);

/// @brief Time after which an attempt on the route counts as slow; nothing while too few are known.
[[nodiscard]] std::optional<core::duration>
second_send_delay(const second_sends& known, std::string_view route, core::instant now);

/// @brief Whether the operators' limit permits a second send now.
[[nodiscard]] bool
has_second_send(const second_sends& known, const core::service_id& service, double limit) noexcept;

/// @brief Takes a second send from the operators' limit.
/// @returns False if the service has none left.
[[nodiscard]] bool try_take_second_send(second_sends& known, const core::service_id& service, double limit);

/// @brief An attempt that is in progress.
struct waiting_attempt {
    core::instant sent_at{};
    bool is_first = false;        ///< Whether nothing else of the request has been sent.
    bool repeatable = false;      ///< Whether the request may run twice.
    bool begun = false;           ///< Whether anything of the response has been relayed.
    bool suspected = false;       ///< Whether the request may crash endpoints.
    bool instance_busy = false;   ///< Whether this instance is overloaded or shutting down.
    std::uint32_t other_runs = 0; ///< Other endpoints on which the request has run or may have.
    std::uint32_t max_attempts = 0;
};

/// @brief What to do about a second send.
enum class second_send_step : std::uint8_t {
    none, ///< It is not permitted for this attempt.
    wait, ///< The attempt is not slow yet.
    send, ///< To an endpoint with room, if there is one.
    over_limit
};

/// @brief The step, and when to decide again.
struct second_send_decision {
    second_send_step step = second_send_step::none;
    core::instant until{}; ///< Only for @c wait.
};

/// @brief Decides whether a request is sent to a second endpoint while an attempt is in progress.
/// @remarks Designed for fleets in which a few endpoints are slow for seconds, while most have room. Sends no
/// more than the limit, whatever share of the endpoints is slow.
[[nodiscard]] second_send_decision decide(const second_sends& known,
                                          const core::service_id& service,
                                          std::string_view route,
                                          double limit,
                                          const waiting_attempt& attempt,
                                          core::instant now);

/// @brief Whether an endpoint would begin a request at once, is healthy and is not cold.
[[nodiscard]] bool has_room(const fleet_state& fleet, const endpoint_state& endpoint, core::instant now);

/// @brief Endpoints of a service that get no second sends.
/// @param software_version The only one that may run the request; nothing for any.
[[nodiscard]] std::vector<endpoint_tag>
endpoints_without_room(const fleet_state& fleet,
                       const core::service_id& service,
                       std::optional<std::string_view> software_version,
                       core::instant now);

} // namespace hibiscusfall::dispatch
