#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>

namespace hibiscusfall::dispatch
{

/// @brief How an endpoint has behaved towards this instance, whatever its health check says.
/// @remarks Answers endpoints that fail, refuse or stay silent while they look healthy.
struct endpoint_health {
    double failures = 0; ///< Recent failures, fading with time, at @c failures_at.
    core::instant failures_at{};
    std::uint32_t in_a_row = 0;
    core::instant rests_until{}; ///< Gets nothing before this unless all others rest too.
};

/// @brief What a request's end says of its endpoint.
enum class endpoint_sign : std::uint8_t {
    good,       ///< It answered.
    refused,    ///< It said that it did not run the request.
    failed,     ///< It answered with a failure, garbled or broke off its answer.
    unreachable ///< No connection, or nothing was heard of it.
};

/// @brief Notes the end of a request.
void note(endpoint_health& health, endpoint_sign sign, core::instant now);

/// @brief Recent failures, faded to @p now.
[[nodiscard]] double recent_failures(const endpoint_health& health, core::instant now);

/// @brief Whether the endpoint is left alone for now.
[[nodiscard]] inline bool rests(const endpoint_health& health, core::instant now) noexcept
{
    return now < health.rests_until;
}

} // namespace hibiscusfall::dispatch
