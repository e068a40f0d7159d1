#include "hibiscusfall/relay/connection_limits.hpp"

#include <algorithm>
#include <limits>

namespace hibiscusfall::relay
{

namespace
{

/// Descriptors that the platform reserves for files.
constexpr std::size_t file_descriptors = 200;
/// For listeners, other instances, the store and status pages, and for callers that are being refused.
constexpr std::size_t control_descriptors = 100;
/// Part of the descriptors that stays free for further connections to endpoints.
constexpr std::size_t endpoint_percent = 10;
/// Caller connections that are permitted however many descriptors other connections use.
constexpr std::size_t min_caller_connections = 64;

/// Parts of the limit, in percent. A sweep closes idle connections down to the lower one, so that not every
/// new connection costs another one its place.
constexpr std::size_t close_idle_from_percent = 85;
constexpr std::size_t close_idle_to_percent = 80;
constexpr std::size_t close_after_response_percent = 92;

bool is_above(const descriptor_use& use, std::size_t percent) noexcept
{
    return use.available > 0 && use.callers > max_caller_connections(use) * percent / 100;
}

} // namespace

std::size_t max_caller_connections(const descriptor_use& use) noexcept
{
    if (use.available == 0) {
        return std::numeric_limits<std::size_t>::max();
    }
    const auto others =
        file_descriptors + control_descriptors + use.endpoints + use.available * endpoint_percent / 100;
    return std::max(use.available - std::min(use.available, others), min_caller_connections);
}

std::size_t idle_connections_to_close(const descriptor_use& use) noexcept
{
    return is_above(use, close_idle_from_percent)
               ? use.callers - max_caller_connections(use) * close_idle_to_percent / 100
               : 0;
}

bool should_close_after_response(const descriptor_use& use) noexcept
{
    return is_above(use, close_after_response_percent);
}

bool should_refuse_connection(const descriptor_use& use) noexcept
{
    return use.callers >= max_caller_connections(use);
}

} // namespace hibiscusfall::relay
