#pragma once

#include "attempt.hpp"

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/relay/shutdown_schedule.hpp"

#include <optional>
#include <span>
#include <string_view>

/// @file
/// @brief Where and until when a request may be sent.

namespace hibiscusfall::relay::detail
{

/// Minimum remaining time for another attempt.
inline constexpr core::duration min_attempt_time = std::chrono::milliseconds{30};

/// @brief Latest time at which the response may arrive.
[[nodiscard]] core::instant latest_response_time(const request_state& state);

/// @brief Latest time for which an attempt may wait. The route's timeout ends with the first event of a
/// stream.
[[nodiscard]] core::instant latest_attempt_end(const request_state& state);

/// @brief What the shutdown of this instance has to know of the request.
[[nodiscard]] pending_request pending(const request_state& state);

/// @brief Whether the shutdown of this instance forbids another attempt. A stream that has begun may be
/// resumed until the end, since its caller has no other answer.
[[nodiscard]] bool shutdown_forbids_retry(const request_state& state, core::instant now);

/// @brief Whether time and position allow another attempt, whatever became of the last one.
[[nodiscard]] bool allows_another(const request_state& state, core::instant now);

/// @brief Whether the request may have crashed its endpoint, so that it must not reach another one.
[[nodiscard]] bool may_crash_another(request_state& state, const attempt_result& end);

/// @brief Whether anything connects the request with crashes, so that it must not run at two endpoints at
/// once.
[[nodiscard]] bool is_crash_suspect(request_state& state);

/// @brief Takes a repeat from the service's budget.
bool take_repeat(request_state& state, core::instant now);

/// @brief Chooses an endpoint for the request.
[[nodiscard]] dispatch::placement_decision
place(const request_state& state, std::span<const dispatch::endpoint_tag> excluded, core::instant now);

/// @brief A request that is recorded as sent.
struct recorded_send {
    dispatch::running_request running;
    std::optional<dispatch::endpoint_tag>
        prefix_source; ///< Engine from which the prompt's beginning is copied.
};

/// @brief Records that the request is sent to the endpoint of a decision.
[[nodiscard]] recorded_send
record_send(request_state& state, const dispatch::placement_decision& decision, core::instant now);

/// @brief Id of an endpoint for messages; "-" if it is not known any more.
[[nodiscard]] std::string_view endpoint_id(const relay_server& server, dispatch::endpoint_tag tag);

} // namespace hibiscusfall::relay::detail
