#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>

namespace hibiscusfall::dispatch
{

/// @brief Health of an endpoint as observed by this instance, independent of the endpoint's health check.
/// @remarks Covers endpoints that fail, refuse or do not respond while their health check passes.
struct endpoint_health {
    double failures = 0; ///< Decaying count of failures as of @c failures_at.
    core::instant failures_at{};
    std::uint32_t consecutive_failures = 0;
    core::instant suspended_until{}; ///< Not used before this unless all others are suspended too.
    core::instant backoff_until{};   ///< Requested by the endpoint; always observed.
};

/// @brief Outcome of a request with regard to its endpoint's health.
enum class request_outcome : std::uint8_t {
    succeeded,   ///< The endpoint answered.
    refused,     ///< The endpoint reported that it did not run the request.
    failed,      ///< Failure response, malformed answer or broken connection.
    unreachable, ///< No connection, or no response.
    unknown      ///< Ended by this instance before the endpoint answered; changes nothing.
};

/// @brief Records the outcome of a request.
void record_outcome(endpoint_health& health, request_outcome outcome, core::instant now);

/// @brief Count of recent failures, decayed to @p now.
[[nodiscard]] double recent_failures(const endpoint_health& health, core::instant now);

/// @brief Longest back-off that an endpoint may request at a time. The longest specified deadline is 15 s, so
/// a longer back-off is treated as a fault.
inline constexpr core::duration max_requested_backoff = std::chrono::seconds{60};

/// @brief Records that the endpoint asked this instance to send nothing for @p rest. Does not shorten a
/// back-off requested before.
void record_requested_backoff(endpoint_health& health, core::duration rest, core::instant now) noexcept;

/// @brief Whether @p now is within a back-off that the endpoint requested.
[[nodiscard]] inline bool is_backing_off(const endpoint_health& health, core::instant now) noexcept
{
    return now < health.backoff_until;
}

/// @brief Whether the endpoint is suspended because of its recent failures.
[[nodiscard]] inline bool is_suspended(const endpoint_health& health, core::instant now) noexcept
{
    return now < health.suspended_until;
}

} // namespace hibiscusfall::dispatch
