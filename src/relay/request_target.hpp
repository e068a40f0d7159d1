#pragma once

#include "refusal.hpp"

#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/relay/relay_server.hpp"

#include <optional>
#include <string_view>

namespace hibiscusfall::relay::detail
{

/// @brief What the configuration determines of a request, as far as it was found.
struct request_target {
    const catalog::route* route = nullptr;
    const catalog::team* team = nullptr; ///< Null for anonymous requests.
    dispatch::team_tag team_tag = 0;
    core::service_id service{};
    std::uint64_t draw = 0; ///< Distributed evenly over requests.
    std::optional<refusal> problem{};
};

/// @brief Finds route, team and service of a request.
/// @param table Must outlive the result; null if none is known.
[[nodiscard]] request_target find_target(const relay_server& server,
                                         const catalog::route_table* table,
                                         std::string_view host,
                                         std::string_view path,
                                         const request_metadata& metadata);

/// @brief Whether a caller takes a stream up after its last event.
[[nodiscard]] bool is_take_up(const catalog::route& route, const request_metadata& metadata);

/// @brief Latest time at which the response may arrive.
[[nodiscard]] core::instant
latest_response_time(const catalog::route& route, core::instant arrived, core::instant deadline);

/// @brief What the shutdown of this instance has to know of a request.
[[nodiscard]] pending_request describe_pending(const catalog::route& route, core::instant latest_response);

/// @brief Refusal of a new request because this instance shuts down or is overloaded; nothing if it is not.
[[nodiscard]] std::optional<refusal>
refuse_at_instance(const relay_server& server, const pending_request& pending, core::instant arrived);

/// @brief Sets how many output tokens of a generation are expected.
void estimate_output(const relay_server& server, const catalog::route& route, dispatch::prompt& generation);

/// @brief What placement has to know of a request to a target that was found.
/// @param generation Null for plain requests; must outlive the result.
[[nodiscard]] dispatch::placement_request to_placement_request(const request_target& target,
                                                               const dispatch::prompt* generation,
                                                               core::instant arrived,
                                                               core::instant deadline);

/// @brief The policy for a request.
/// @param admitted Whether it has passed admission already and only needs an endpoint.
[[nodiscard]] dispatch::policy placement_policy(const relay_server& server, bool admitted);

/// @brief The response to a request that was not placed.
/// @param time_left Time until its caller gives up.
[[nodiscard]] refusal placement_refusal(const dispatch::placement_decision& decision,
                                        core::duration time_left);

/// @brief Deadline of requests that name none: the longest deadline among the service targets.
inline constexpr core::duration default_time_left = std::chrono::seconds{15};

/// @brief Retry-After while no configuration is available: the time of a few reads of the store.
inline constexpr core::duration configuration_wait = std::chrono::milliseconds{400};

/// @brief Retry-After is at most this fraction (1/n) of the time left to the caller.
inline constexpr int retry_after_divisor = 3;

inline constexpr std::string_view no_endpoint_detail = "no endpoint of the service is in use";

} // namespace hibiscusfall::relay::detail
