#include "hibiscusfall/dispatch/cold_endpoints.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace hibiscusfall::dispatch
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::duration limit_window = seconds{1};
/// Time after its start in which an instance does not know all others yet.
constexpr core::duration introduction_time = seconds{5};
/// Part of a limit that is divided among the instances.
constexpr double used_fraction = 0.7;
constexpr double max_senders = 4;
/// Time within which a second instance confirms that an endpoint cannot be reached.
constexpr core::duration confirmation_time = seconds{2};
/// Longest time for which a stated cold period counts. Stated are a few seconds.
constexpr core::duration max_stated_time = seconds{60};
/// Time after a presumed cold period in which the first response of an endpoint still shows its return.
constexpr core::duration unreachable_retention = seconds{10};
/// A statement that peers already reported is not reported again unless it is later by more than this.
constexpr core::duration known_statement_margin = milliseconds{500};

std::uint64_t digest_of(std::string_view name)
{
    return XXH64(name.data(), name.size(), 0);
}

/// The position of an instance in the order of an endpoint's senders; the lowest ones may send.
std::uint64_t rank_of(std::uint64_t instance, endpoint_tag endpoint)
{
    // Finaliser of MurmurHash3.
    auto value = instance ^ (std::uint64_t{endpoint} * 0x9E3779B97F4A7C15ULL);
    value = (value ^ (value >> 33U)) * 0xFF51AFD7ED558CCDULL;
    value = (value ^ (value >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
    return value ^ (value >> 33U);
}

bool is_sender(const cold_endpoints& known,
               std::string_view own_instance,
               endpoint_tag endpoint,
               std::uint32_t senders)
{
    const auto own = rank_of(digest_of(own_instance), endpoint);
    std::uint32_t before = 0;
    for (const auto& [name, instance] : known.instances) {
        before += rank_of(instance.digest, endpoint) < own ? 1 : 0;
        if (before >= senders) {
            return false;
        }
    }
    return before < senders;
}

std::uint32_t sends_in_window(const cold_endpoint& endpoint, core::instant now)
{
    return static_cast<std::uint32_t>(
        std::count_if(endpoint.sends.begin(), endpoint.sends.end(), [now](core::instant at) {
            return now - at <= limit_window;
        }));
}

/// Adds an instance that could not reach the endpoint; presumes it cold once two of them agree.
void add_failure(cold_endpoint& endpoint,
                 std::uint64_t instance,
                 const cold_properties& properties,
                 core::instant now)
{
    auto& failures = endpoint.failures;
    std::erase_if(failures, [&](const auto& each) {
        return each.first == instance || now - each.second > confirmation_time;
    });
    failures.emplace_back(instance, now);
    if (failures.size() > 1) {
        endpoint.presumed_until = std::max(endpoint.presumed_until, now + properties.period);
    }
}

/// Adds a finding for the next report, in place of an earlier one of the same kind: a domain that fails would
/// otherwise add one for each request.
void add_finding(cold_endpoints& known, const cold_finding& finding)
{
    const auto same = std::find_if(known.findings.begin(), known.findings.end(), [&](const auto& each) {
        return each.endpoint == finding.endpoint && each.stated == finding.stated;
    });
    if (same == known.findings.end()) {
        known.findings.push_back(finding);
    } else {
        same->until = finding.until;
    }
}

} // namespace

cold_allowance divide_limit(const cold_limits& limits, double requests_per_second) noexcept
{
    const double limit = std::floor(requests_per_second * limits.overshoot + limits.slack);
    const double used = std::max(0.0, used_fraction * limit);
    const double requests = std::max(1.0, std::floor(used / max_senders));
    const double senders = std::min(max_senders, std::floor(used / requests));
    return {.senders = static_cast<std::uint32_t>(senders),
            .requests = static_cast<std::uint32_t>(std::min(requests, 1e6))};
}

bool is_cold(const cold_endpoints& known, endpoint_tag endpoint, core::instant now)
{
    const auto found = known.endpoints.find(endpoint);
    if (found == known.endpoints.end()) {
        return false;
    }
    const auto& each = found->second;
    return now < std::max({each.entry_until, each.peer_until, each.presumed_until});
}

bool may_send(const cold_endpoints& known,
              std::string_view own_instance,
              endpoint_tag endpoint,
              const cold_properties& properties,
              core::instant now)
{
    if (!properties.limited() || !is_cold(known, endpoint, now)) {
        return true;
    }
    const bool knows_fleet = !known.instances.empty() || !known.expects_peers;
    if (!knows_fleet || now - known.started_at < introduction_time) {
        return false;
    }
    const auto allowance = divide_limit(known.limits, properties.requests_per_second);
    return sends_in_window(known.endpoints.at(endpoint), now) < allowance.requests &&
           is_sender(known, own_instance, endpoint, allowance.senders);
}

void record_send(cold_endpoints& known, endpoint_tag endpoint, core::instant now)
{
    auto& sends = known.endpoints[endpoint].sends;
    std::erase_if(sends, [now](core::instant at) { return now - at > limit_window; });
    sends.push_back(now);
}

void record_entry(cold_endpoints& known, endpoint_tag endpoint, core::instant until, core::instant now)
{
    const auto bounded = std::min(until, now + max_stated_time);
    const auto found = known.endpoints.find(endpoint);
    if (found == known.endpoints.end() && bounded <= now) {
        return;
    }
    auto& each = known.endpoints[endpoint];
    // The list is applied again with each change: the bound counts from the first reading.
    if (each.entry_stated == until) {
        return;
    }
    each.entry_stated = until;
    each.entry_until = bounded;
    if (bounded > now && bounded > each.peer_until + known_statement_margin) {
        add_finding(known, {.endpoint = endpoint, .until = bounded, .stated = true});
    }
}

void record_unreachable(cold_endpoints& known,
                        std::string_view own_instance,
                        endpoint_tag endpoint,
                        const cold_properties& properties,
                        core::instant now)
{
    if (!properties.limited()) {
        return;
    }
    auto& each = known.endpoints[endpoint];
    each.unreachable = true;
    each.presumed_until = std::max(each.presumed_until, now + properties.period);
    add_failure(each, digest_of(own_instance), properties, now);
    add_finding(known, {.endpoint = endpoint, .until = now + properties.period, .stated = false});
}

void record_response(cold_endpoints& known,
                     endpoint_tag endpoint,
                     const cold_properties& properties,
                     core::instant now)
{
    const auto found = known.endpoints.find(endpoint);
    if (found == known.endpoints.end() || !found->second.unreachable) {
        return;
    }
    found->second.unreachable = false;
    found->second.presumed_until = std::max(found->second.presumed_until, now + properties.period);
    add_finding(known, {.endpoint = endpoint, .until = now + properties.period, .stated = false});
}

void record_peer_statement(cold_endpoints& known,
                           endpoint_tag endpoint,
                           core::instant until,
                           core::instant now)
{
    auto& each = known.endpoints[endpoint];
    each.peer_until = std::max(each.peer_until, std::min(until, now + max_stated_time));
}

void record_peer_failure(cold_endpoints& known,
                         std::string_view peer,
                         endpoint_tag endpoint,
                         const cold_properties& properties,
                         core::instant now)
{
    if (properties.limited()) {
        add_failure(known.endpoints[endpoint], digest_of(peer), properties, now);
    }
}

void presume_cold(cold_endpoints& known,
                  endpoint_tag endpoint,
                  const cold_properties& properties,
                  core::instant now)
{
    if (properties.limited()) {
        auto& each = known.endpoints[endpoint];
        each.presumed_until = std::max(each.presumed_until, now + properties.period);
    }
}

void record_instance(cold_endpoints& known, std::string_view name, core::instant now)
{
    record_known_instance(known, name, now);
}

void record_known_instance(cold_endpoints& known, std::string_view name, core::instant last_heard)
{
    auto found = known.instances.find(name);
    if (found == known.instances.end()) {
        found =
            known.instances.emplace(name, cold_endpoints::known_instance{.digest = digest_of(name)}).first;
    }
    found->second.last_heard = std::max(found->second.last_heard, last_heard);
}

void expire(cold_endpoints& known, core::instant now)
{
    std::erase_if(known.instances,
                  [now](const auto& each) { return now - each.second.last_heard > instance_retention; });
    std::erase_if(known.endpoints, [&](const auto& each) {
        const auto& endpoint = each.second;
        const auto last = std::max({endpoint.entry_stated, endpoint.peer_until, endpoint.presumed_until});
        const bool sent = !endpoint.sends.empty() && now - endpoint.sends.back() <= limit_window;
        const bool failed =
            !endpoint.failures.empty() && now - endpoint.failures.back().second <= confirmation_time;
        return now >= last + unreachable_retention && !sent && !failed;
    });
}

} // namespace hibiscusfall::dispatch
