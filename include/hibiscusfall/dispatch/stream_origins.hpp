#pragma once

#include "hibiscusfall/catalog/endpoint_list.hpp"
#include "hibiscusfall/dispatch/prefix_cache.hpp"
#include "hibiscusfall/dispatch/stream_baseline.hpp"
#include "hibiscusfall/dispatch/team_shares.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief Digest of a stream's team, service and the id of the request that brought its first event.
using stream_tag = std::uint64_t;

[[nodiscard]] stream_tag
tag_of_stream(team_tag team, const core::service_id& service, std::string_view request_id);

/// @brief The software version that an endpoint runs. An entry that states none has a version of its own, as
/// nothing shows which other endpoints continue its streams.
[[nodiscard]] std::string software_version(const catalog::endpoint& entry);

/// @brief Where a stream began.
struct stream_origin {
    stream_tag stream = 0;
    core::service_id service;
    std::string version;
    core::instant expires{}; ///< Deadline of its caller; it is not taken up later.
    bool stored = false;     ///< Whether the store has it.
    /// How often the request has moved to another version before its first event. Of two records of a stream
    /// the one with more moves holds.
    std::uint32_t moves = 0;
    std::uint64_t revision = 0; ///< Of the store's record as last known; zero if there is none.
    bool offered = false;       ///< Whether this version was in a batch to the store, or handed to a peer.
    /// Whether the store may have the version of an earlier attempt.
    bool superseded = false;
    /// Whether only another instance relays the stream, and has asked this one to store where it began. It
    /// may have moved since.
    bool relayed = false;
};

/// @brief The store's record of a stream, as found when another one was to be written.
struct stored_origin {
    std::string version;
    std::uint32_t moves = 0;
    std::uint64_t revision = 0;
};

/// @brief The software versions of one service.
struct service_versions {
    /// Versions that the store names: any stream of the service began at one of these. Empty until read.
    std::vector<std::string> registered;
    std::vector<std::string> listed; ///< Versions of the endpoints in the list, including draining ones.
    std::vector<std::string> ready;  ///< Versions of the endpoints in the list that are not draining.
    bool use_unregistered = false;   ///< Whether the store cannot be reached to register versions.
    stream_baseline baseline{};
};

/// @brief Software versions at which streams began, as this instance knows them.
/// @remarks Holds the streams that began here or were taken up here, and those that this instance stores for
/// others.
struct stream_origins {
    static constexpr std::size_t max_streams = 16384;
    std::unordered_map<stream_tag, stream_origin> known;
    std::deque<std::pair<core::instant, stream_tag>> expiries; ///< In the order of recording.
    std::deque<stream_tag> unstored; ///< Not yet in the store; some may have expired.
    std::map<core::service_id, service_versions> services;
    bool records_failing = false; ///< Whether the last attempt to write records to the store failed.
};

/// @brief Applies a new endpoint list.
/// @returns Services whose versions are to be registered or read again: those with a listed version that is
/// not registered, and those of several versions one of which is listed again.
std::vector<core::service_id> update_versions(stream_origins& origins, const catalog::endpoint_list& list);

/// @brief Records the versions that the store names for a service.
void record_registered(stream_origins& origins,
                       const core::service_id& service,
                       std::vector<std::string> versions);

/// @brief Whether the store named several versions of the service when it was last read.
[[nodiscard]] bool has_several_registered(const stream_origins& origins, const core::service_id& service);

/// @brief Whether streams of the service may have begun at different versions.
[[nodiscard]] bool is_mixed(const stream_origins& origins, const core::service_id& service);

/// @brief Whether streams that may be taken up can begin at the version: the store names it, or cannot be
/// reached.
[[nodiscard]] bool
may_begin(const stream_origins& origins, const core::service_id& service, std::string_view version);

/// @brief Records where a stream begins. The last record of a stream holds, as a request may move before its
/// first event; it is removed once it expires, or earlier if there are too many.
void record_origin(stream_origins& origins, stream_origin origin, core::instant now);

/// @brief Records an origin that another instance asks this one to store.
/// @returns Whether the store has it already.
bool record_relayed(stream_origins& origins, stream_origin origin, core::instant now);

/// @brief Where a stream began that this instance relays or has relayed; null if unknown.
[[nodiscard]] const stream_origin*
find_origin(const stream_origins& origins, stream_tag stream, core::instant now);

/// @brief Takes the next origins to be stored: those that need a record, and those stored for others. The
/// rest stays.
[[nodiscard]] std::vector<stream_origin>
take_unstored(stream_origins& origins, std::size_t most, core::instant now);

/// @brief Returns origins that could not be stored, to be taken first next time.
void return_unstored(stream_origins& origins, std::span<const stream_origin> batch);

/// @brief Marks origins as stored, unless they were recorded anew meanwhile.
void mark_stored(stream_origins& origins, std::span<const stream_origin> batch);

/// @brief Records the revision of the store's records after a batch was written, or found in the store. The
/// next writes of these streams depend on it.
void record_revision(stream_origins& origins, std::span<const stream_origin> batch, std::uint64_t revision);

/// @brief Compares an origin that was not written with the record that the store has of its stream.
/// @param found The store's record; nothing if it has none.
/// @returns Whether the origin needs to be written. Otherwise the store's record holds: it is the same, or it
/// has more moves and becomes the known one.
bool reconcile(stream_origins& origins, stream_tag stream, const std::optional<stored_origin>& found);

/// @brief Marks all known origins as not stored, after the store has lost what was written. No baseline
/// covers them any more.
void forget_stored(stream_origins& origins);

} // namespace hibiscusfall::dispatch
