#include "hibiscusfall/dispatch/record_need.hpp"

#include "version_lists.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

using detail::contains;
using detail::has_all;

namespace
{

/// Whether another instance could continue a stream at this version that has no record at another one.
bool may_be_continued_elsewhere(const service_versions& versions, std::string_view version)
{
    const auto& baseline = versions.baseline;
    switch (baseline.state) {
    case baseline_state::named:
        return version != baseline.version && contains(versions.ready, baseline.version);
    case baseline_state::absent:
        return false;
    case baseline_state::unread:
        break;
    }
    // The baseline is one of the versions that the store names, or not even these are known.
    return std::any_of(versions.ready.begin(), versions.ready.end(), [&](const auto& other) {
        return other != version && (versions.registered.empty() || contains(versions.registered, other));
    });
}

bool has_ready_registered(const service_versions& versions)
{
    return std::any_of(versions.ready.begin(), versions.ready.end(), [&](const auto& version) {
        return contains(versions.registered, version);
    });
}

bool is_deprioritized(const stream_origins& origins,
                      const service_versions& versions,
                      std::string_view version)
{
    if (!contains(versions.registered, version)) {
        return has_ready_registered(versions);
    }
    const auto& baseline = versions.baseline;
    return origins.records_failing && baseline.state == baseline_state::named &&
           version != baseline.version && contains(versions.ready, baseline.version);
}

} // namespace

record_need need_of_record(const stream_origins& origins, const stream_origin& origin)
{
    const auto found = origins.services.find(origin.service);
    if (found == origins.services.end() || !is_mixed(origins, origin.service)) {
        return record_need::none;
    }
    if (origin.superseded) {
        return record_need::required;
    }
    const auto& versions = found->second;
    if (versions.registered.size() == 1 && origin.version == versions.registered.front()) {
        return record_need::none; // the other version has no streams before it is registered
    }
    if (may_be_continued_elsewhere(versions, origin.version)) {
        return record_need::required;
    }
    const auto& baseline = versions.baseline;
    if (baseline.state == baseline_state::named && origin.version == baseline.version) {
        return origin.expires <= baseline.covers_until ? record_need::none : record_need::later;
    }
    return record_need::wanted;
}

bool is_deprioritized(const stream_origins& origins,
                      const core::service_id& service,
                      std::string_view version)
{
    const auto found = origins.services.find(service);
    return found != origins.services.end() && is_deprioritized(origins, found->second, version);
}

bool is_known_elsewhere(const stream_origins& origins, const stream_origin& origin)
{
    const auto found = origins.services.find(origin.service);
    return origin.stored &&
           (found == origins.services.end() || contains(found->second.registered, origin.version));
}

bool waits_for_records(const stream_origins& origins)
{
    return std::any_of(origins.services.begin(), origins.services.end(), [&](const auto& each) {
        const auto& versions = each.second;
        return std::any_of(versions.registered.begin(), versions.registered.end(), [&](const auto& version) {
            return contains(versions.ready, version) && is_deprioritized(origins, versions, version);
        });
    });
}

void record_baseline(stream_origins& origins,
                     const core::service_id& service,
                     const std::optional<std::string>& version,
                     core::instant now,
                     const baseline_times& times)
{
    auto& known = origins.services[service];
    auto& baseline = known.baseline;
    if (!version) {
        baseline = {.state = baseline_state::absent};
    } else if (baseline.state == baseline_state::named && baseline.version == *version) {
        baseline.next_check = now + times.check_interval;
    } else {
        // An instance that knew another version before may learn of the registration long after it.
        const bool was_alone = known.registered == std::vector{*version};
        baseline = {.state = baseline_state::named,
                    .version = *version,
                    .covers_until =
                        was_alone ? now + times.lifetime - times.max_learning_time : core::instant{},
                    .next_check = now + times.lifetime};
    }
}

bool is_baseline_absent(const stream_origins& origins, const core::service_id& service)
{
    const auto found = origins.services.find(service);
    return found != origins.services.end() && found->second.baseline.state == baseline_state::absent;
}

bool is_baseline_check_due(const service_versions& versions, core::instant now)
{
    return versions.baseline.state == baseline_state::unread ||
           (versions.baseline.state == baseline_state::named && versions.baseline.next_check <= now);
}

void request_check(stream_baseline& baseline)
{
    if (baseline.state == baseline_state::named) {
        baseline.next_check = core::instant{};
    } else {
        baseline = {};
    }
}

void request_check_after_removal(stream_origins& origins,
                                 const core::service_id& service,
                                 std::span<const std::string> stored)
{
    const auto found = origins.services.find(service);
    if (found != origins.services.end() && !has_all(stored, found->second.registered)) {
        request_check(found->second.baseline);
    }
}

void forget_baselines(stream_origins& origins)
{
    for (auto& [service, versions] : origins.services) {
        versions.baseline = {};
    }
}

} // namespace hibiscusfall::dispatch
