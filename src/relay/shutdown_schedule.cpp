#include "hibiscusfall/relay/shutdown_schedule.hpp"

#include <algorithm>

namespace hibiscusfall::relay
{

namespace
{

using std::chrono::milliseconds;

/// The load balancer needs two failed checks, one per second, to stop sending connections.
constexpr core::duration rotation_time = milliseconds{2600};
/// Part (1/n) of the timeout for which streams are accepted, so that most of it is left to them.
constexpr int stream_part = 3;
/// Part (1/n) of the timeout at its end in which work in progress may be given up.
constexpr int last_part = 6;
/// Time in which final responses are sent, on an event loop that is not behind.
constexpr core::duration response_time = milliseconds{250};
/// The process ends this long before it would be killed.
constexpr core::duration exit_margin = milliseconds{100};

} // namespace

core::instant connections_until(const shutdown_schedule& stop) noexcept
{
    return stop.requested + rotation_time;
}

core::instant streams_until(const shutdown_schedule& stop) noexcept
{
    return stop.requested + std::min(rotation_time, stop.timeout / stream_part);
}

core::instant responses_until(const shutdown_schedule& stop) noexcept
{
    const auto kill = stop.requested + stop.timeout;
    return std::max(kill - stop.timeout / last_part, kill - response_time - stop.loop_lag);
}

core::instant process_end(const shutdown_schedule& stop) noexcept
{
    return std::max(responses_until(stop), stop.requested + stop.timeout - exit_margin);
}

bool accepts(const shutdown_schedule& stop, const pending_request& request, core::instant now) noexcept
{
    return request.is_stream ? now < streams_until(stop) : request.latest_response <= responses_until(stop);
}

bool allows_retry(const shutdown_schedule& stop, const pending_request& request, core::instant now) noexcept
{
    if (now < streams_until(stop)) {
        return true;
    }
    return now < responses_until(stop) &&
           (accepts(stop, request, now) || (request.repeatable && !request.is_stream));
}

} // namespace hibiscusfall::relay
