#include "hibiscusfall/dispatch/stream_origins.hpp"

#include "version_lists.hpp"

#include "hibiscusfall/dispatch/record_need.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace hibiscusfall::dispatch
{

using detail::contains;
using detail::has_all;

namespace
{

void add_version(std::vector<std::string>& versions, const std::string& version)
{
    if (!contains(versions, version)) {
        versions.push_back(version);
    }
}

/// Finds the origin in constant or other origins.
template <class origins_type>
auto* find_known(origins_type& origins, stream_tag stream, core::instant now)
{
    const auto found = origins.known.find(stream);
    return found == origins.known.end() || found->second.expires <= now ? nullptr : &found->second;
}

void remove_expired(stream_origins& origins, core::instant now)
{
    auto& expiries = origins.expiries;
    while (!expiries.empty() &&
           (expiries.front().first <= now || expiries.size() > stream_origins::max_streams)) {
        origins.known.erase(expiries.front().second);
        expiries.pop_front();
    }
}

/// Adds the origin of a stream that is not known yet.
void add(stream_origins& origins, stream_origin origin, core::instant now)
{
    const auto stream = origin.stream;
    // Deadlines differ, so that an origin may be kept a little past its own.
    const auto last =
        origins.expiries.empty() ? origin.expires : std::max(origin.expires, origins.expiries.back().first);
    origins.known.emplace(stream, std::move(origin));
    origins.expiries.emplace_back(last, stream);
    origins.unstored.push_back(stream);
    while (origins.unstored.size() > stream_origins::max_streams) {
        origins.unstored.pop_front();
    }
    remove_expired(origins, now);
}

} // namespace

stream_tag tag_of_stream(team_tag team, const core::service_id& service, std::string_view request_id)
{
    const auto seed = XXH64(service.view().data(), service.view().size(), team);
    return XXH64(request_id.data(), request_id.size(), seed);
}

std::string software_version(const catalog::endpoint& entry)
{
    // A space cannot occur in a version, so that no entry states the version of another one.
    return entry.software_version.empty() ? "of " + entry.id.str() + ' ' + std::to_string(entry.start_time_ms)
                                          : entry.software_version;
}

std::vector<core::service_id> update_versions(stream_origins& origins, const catalog::endpoint_list& list)
{
    std::map<core::service_id, std::vector<std::string>> listed_before;
    for (auto& [service, versions] : origins.services) {
        listed_before[service] = std::exchange(versions.listed, {});
        versions.ready.clear();
    }
    for (const auto& [key, entry] : list.entries) {
        auto& versions = origins.services[entry.service];
        const auto version = software_version(entry);
        add_version(versions.listed, version);
        if (!entry.draining) {
            add_version(versions.ready, version);
        }
    }
    std::erase_if(origins.services, [](const auto& each) {
        return each.second.listed.empty() && each.second.registered.empty();
    });
    std::vector<core::service_id> unconfirmed;
    for (auto& [service, versions] : origins.services) {
        const bool all_registered = has_all(versions.registered, versions.listed);
        // One that returns may have been removed from the store meanwhile, and come with another baseline.
        const bool returned =
            versions.registered.size() > 1 && !has_all(listed_before[service], versions.listed);
        if (returned) {
            request_check(versions.baseline);
        }
        if (!all_registered || returned) {
            unconfirmed.push_back(service);
        }
    }
    return unconfirmed;
}

void record_registered(stream_origins& origins,
                       const core::service_id& service,
                       std::vector<std::string> versions)
{
    auto& known = origins.services[service];
    if (versions.size() <= 1) {
        known.baseline = {};
    }
    known.registered = std::move(versions);
    known.use_unregistered = false;
}

bool has_several_registered(const stream_origins& origins, const core::service_id& service)
{
    const auto found = origins.services.find(service);
    return found != origins.services.end() && found->second.registered.size() > 1;
}

bool is_mixed(const stream_origins& origins, const core::service_id& service)
{
    const auto found = origins.services.find(service);
    if (found == origins.services.end()) {
        return false;
    }
    const auto& registered = found->second.registered;
    const auto& listed = found->second.listed;
    if (registered.size() > 1 || listed.size() > 1) {
        return true;
    }
    return !registered.empty() && !listed.empty() && registered != listed;
}

bool may_begin(const stream_origins& origins, const core::service_id& service, std::string_view version)
{
    const auto found = origins.services.find(service);
    return found != origins.services.end() &&
           (found->second.use_unregistered || contains(found->second.registered, version));
}

void record_origin(stream_origins& origins, stream_origin origin, core::instant now)
{
    remove_expired(origins, now);
    if (origin.expires <= now) {
        return;
    }
    const auto found = origins.known.find(origin.stream);
    if (found == origins.known.end()) {
        add(origins, std::move(origin), now);
        return;
    }
    auto& known = found->second;
    known.relayed = false;
    if (known.version != origin.version) {
        known.version = std::move(origin.version);
        known.moves = std::max(known.moves + 1, origin.moves);
        known.superseded = known.superseded || known.offered;
        known.offered = false;
        known.stored = false;
        origins.unstored.push_back(origin.stream);
    }
}

bool record_relayed(stream_origins& origins, stream_origin origin, core::instant now)
{
    remove_expired(origins, now);
    if (origin.expires <= now) {
        return false;
    }
    const auto found = origins.known.find(origin.stream);
    if (found == origins.known.end()) {
        origin.stored = false;
        origin.relayed = true;
        add(origins, std::move(origin), now);
        return false;
    }
    auto& known = found->second;
    if (known.moves < origin.moves) {
        known.version = std::move(origin.version);
        known.moves = origin.moves;
        known.stored = false;
        origins.unstored.push_back(origin.stream);
    }
    return known.stored;
}

const stream_origin* find_origin(const stream_origins& origins, stream_tag stream, core::instant now)
{
    const auto* known = find_known(origins, stream, now);
    return known == nullptr || known->relayed ? nullptr : known;
}

std::vector<stream_origin> take_unstored(stream_origins& origins, std::size_t most, core::instant now)
{
    remove_expired(origins, now);
    std::vector<stream_origin> batch;
    std::deque<stream_tag> left;
    while (!origins.unstored.empty() && batch.size() < most) {
        const auto stream = origins.unstored.front();
        origins.unstored.pop_front();
        auto* origin = find_known(origins, stream, now);
        if (origin == nullptr) {
            continue;
        }
        const bool taken = std::any_of(
            batch.begin(), batch.end(), [stream](const auto& each) { return each.stream == stream; });
        if (origin->stored || taken) {
            continue;
        }
        if (origin->relayed || need_of_record(origins, *origin) != record_need::none) {
            origin->offered = true;
            batch.push_back(*origin);
        } else {
            left.push_back(stream);
        }
    }
    origins.unstored.insert(origins.unstored.begin(), left.begin(), left.end());
    return batch;
}

void return_unstored(stream_origins& origins, std::span<const stream_origin> batch)
{
    std::vector<stream_tag> streams;
    streams.reserve(batch.size());
    std::transform(batch.begin(), batch.end(), std::back_inserter(streams), [](const auto& each) {
        return each.stream;
    });
    origins.unstored.insert(origins.unstored.begin(), streams.begin(), streams.end());
}

void mark_stored(stream_origins& origins, std::span<const stream_origin> batch)
{
    for (const auto& each : batch) {
        const auto found = origins.known.find(each.stream);
        if (found != origins.known.end() && found->second.version == each.version) {
            found->second.stored = true;
        }
    }
}

void record_revision(stream_origins& origins, std::span<const stream_origin> batch, std::uint64_t revision)
{
    for (const auto& each : batch) {
        const auto found = origins.known.find(each.stream);
        if (found != origins.known.end()) {
            found->second.revision = revision;
        }
    }
}

bool reconcile(stream_origins& origins, stream_tag stream, const std::optional<stored_origin>& found)
{
    const auto position = origins.known.find(stream);
    if (position == origins.known.end()) {
        return false;
    }
    auto& known = position->second;
    known.revision = found ? found->revision : 0;
    if (!found || found->moves < known.moves ||
        (found->moves == known.moves && found->version != known.version)) {
        return true;
    }
    known.version = found->version;
    known.moves = found->moves;
    known.stored = true;
    return false;
}

void forget_stored(stream_origins& origins)
{
    origins.unstored.clear();
    for (const auto& [expires, stream] : origins.expiries) {
        origins.unstored.push_back(stream);
    }
    for (auto& [stream, origin] : origins.known) {
        origin.stored = false;
        origin.revision = 0;
    }
    for (auto& [service, versions] : origins.services) {
        versions.baseline.covers_until = core::instant{};
    }
}

} // namespace hibiscusfall::dispatch
