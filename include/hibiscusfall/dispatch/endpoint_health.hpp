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
    core::instant rests_until{};  ///< Gets nothing before this unless all others rest too.
    core::instant closed_until{}; ///< It asked for nothing before this, which always holds.
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

/// @brief Longest rest that an endpoint is granted at a time. The longest deadline of the users' sheets is 15
/// s; a value beyond this is taken for a fault.
inline constexpr core::duration longest_asked_rest = std::chrono::seconds{60};

/// @brief Notes that the endpoint wants nothing from this instance for a while. A shorter time than one
/// stated before does not end that one.
void note_asked_rest(endpoint_health& health, core::duration rest, core::instant now) noexcept;

/// @brief Whether the endpoint asked for nothing at this time.
[[nodiscard]] inline bool is_closed(const endpoint_health& health, core::instant now) noexcept
{
    return now < health.closed_until;
}

/// @brief Whether the endpoint is left alone for now.
[[nodiscard]] inline bool rests(const endpoint_health& health, core::instant now) noexcept
{
    return now < health.rests_until;
}

} // namespace hibiscusfall::dispatch
