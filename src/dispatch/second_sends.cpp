#include "hibiscusfall/dispatch/second_sends.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

using std::chrono::milliseconds;

/// Fraction of attempts that are not slow, in percent.
constexpr std::uint32_t delay_percentile = 95;
/// Samples required before attempts count as slow. With fewer, one slow answer sets the percentile.
constexpr std::size_t min_samples = 20;
constexpr core::duration min_delay = milliseconds{20};
/// Time after which a sample no longer tells how fast a route answers.
constexpr core::duration sample_validity = std::chrono::minutes{5};
/// Most second sends that a service can save up, so that a long quiet time does not permit a burst.
constexpr double max_credit = 10;
/// Longest queue of an engine that begins a request at once: less than one step.
constexpr core::duration max_queue_time = milliseconds{5};

} // namespace

void record_request(second_sends& known, const core::service_id& service, double limit)
{
    auto& credit = known.credit[service];
    credit = std::min(max_credit, credit + limit);
}

void record_answer_time(second_sends& known, std::string_view route, core::duration time, core::instant now)
{
    auto found = known.by_route.find(route);
    if (found == known.by_route.end()) {
        found = known.by_route.emplace(std::string{route}, answer_times{}).first;
    }
    auto& times = found->second;
    times.samples[times.next] = {.time = time, .at = now};
    times.next = (times.next + 1) % answer_times::capacity;
    times.count = std::min<std::uint32_t>(times.count + 1, answer_times::capacity);
}

std::optional<core::duration>
second_send_delay(const second_sends& known, std::string_view route, core::instant now)
{
    const auto found = known.by_route.find(route);
    if (found == known.by_route.end()) {
        return std::nullopt;
    }
    std::vector<core::duration> recent;
    recent.reserve(found->second.count);
    for (std::uint32_t i = 0; i < found->second.count; ++i) {
        const auto& each = found->second.samples[i];
        if (now - each.at <= sample_validity) {
            recent.push_back(each.time);
        }
    }
    if (recent.size() < min_samples) {
        return std::nullopt;
    }
    const auto rank = recent.begin() + static_cast<std::ptrdiff_t>(recent.size() * delay_percentile / 100);
    std::nth_element(recent.begin(), rank, recent.end());
    return std::max(*rank, min_delay);
}

bool has_second_send(const second_sends& known, const core::service_id& service, double limit) noexcept
{
    const auto found = known.credit.find(service);
    return limit > 0 && found != known.credit.end() && found->second >= 1;
}

bool try_take_second_send(second_sends& known, const core::service_id& service, double limit)
{
    if (!has_second_send(known, service, limit)) {
        return false;
    }
    known.credit[service] -= 1;
    return true;
}

second_send_decision decide(const second_sends& known,
                            const core::service_id& service,
                            std::string_view route,
                            double limit,
                            const waiting_attempt& attempt,
                            core::instant now)
{
    const bool permitted = limit > 0 && attempt.is_first && attempt.repeatable && !attempt.begun &&
                           !attempt.suspected && !attempt.instance_busy &&
                           attempt.other_runs + 2 <= attempt.max_attempts;
    const auto delay = permitted ? second_send_delay(known, route, now) : std::nullopt;
    if (!delay) {
        return {.step = second_send_step::none};
    }
    if (now < attempt.sent_at + *delay) {
        return {.step = second_send_step::wait, .until = attempt.sent_at + *delay};
    }
    return {.step = has_second_send(known, service, limit) ? second_send_step::send
                                                           : second_send_step::over_limit};
}

bool has_room(const fleet_state& fleet, const endpoint_state& endpoint, core::instant now)
{
    if (!accepts_requests(fleet, endpoint, now) || is_suspended(endpoint.health, now) ||
        is_cold(fleet.cold, endpoint.tag, now) || !is_reachable(fleet, endpoint.entry.domain, now)) {
        return false;
    }
    const auto running = endpoint.model.own_requests + endpoint.model.peer_requests;
    if (endpoint.is_engine) {
        const bool has_slot = endpoint.batch == 0 || running < endpoint.batch;
        return has_slot &&
               expected_queue_time(endpoint.model, now, fleet.observation_delay) <= max_queue_time;
    }
    return running < std::max(1U, endpoint.batch);
}

std::vector<endpoint_tag> endpoints_without_room(const fleet_state& fleet,
                                                 const core::service_id& service,
                                                 std::optional<std::string_view> software_version,
                                                 core::instant now)
{
    std::vector<endpoint_tag> result;
    for (const auto& endpoint : fleet.endpoints) {
        const bool fits = !software_version || endpoint.software_version == *software_version;
        if (endpoint.entry.service == service && !(fits && has_room(fleet, endpoint, now))) {
            result.push_back(endpoint.tag);
        }
    }
    return result;
}

} // namespace hibiscusfall::dispatch
