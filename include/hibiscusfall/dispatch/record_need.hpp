#pragma once

#include "hibiscusfall/dispatch/stream_origins.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

/// @file
/// @brief Which streams need a record in the store, as others would take them for streams of the baseline
/// version, or not know their version.

namespace hibiscusfall::dispatch
{

/// @brief Whether the store has to know where a stream began before its first event is passed on.
enum class record_need : std::uint8_t {
    none,    ///< It is known without a record.
    later,   ///< It is known without a record for now; the first event does not wait.
    wanted,  ///< Without a record the stream cannot be taken up elsewhere.
    required ///< Without a record another instance could continue the stream at another version.
};

/// @brief Whether the store has to know where the stream began.
[[nodiscard]] record_need need_of_record(const stream_origins& origins, const stream_origin& origin);

/// @brief Whether other instances find where the stream began: its record is stored, and its version is
/// registered. Of a service with one registered version they do not look for a record.
[[nodiscard]] bool is_known_elsewhere(const stream_origins& origins, const stream_origin& origin);

/// @brief Whether streams begin at the version only if no endpoint of other versions can be used.
/// @remarks That is so while records cannot be written, of all versions but the baseline, which needs none;
/// and of a version that could not be registered, beside one that is. First events would be held back there.
[[nodiscard]] bool
is_deprioritized(const stream_origins& origins, const core::service_id& service, std::string_view version);

/// @brief Whether a registered version is deprioritized until records can be written.
[[nodiscard]] bool waits_for_records(const stream_origins& origins);

/// @name What the store states of streams without a record

/// @brief Records the baseline of a service, while the store names several versions.
/// @param version The baseline version; nothing if the store names none.
/// @remarks To be called before the versions are recorded: the baseline covers streams of this instance if it
/// knew no other version until now.
void record_baseline(stream_origins& origins,
                     const core::service_id& service,
                     const std::optional<std::string>& version,
                     core::instant now,
                     const baseline_times& times = {});

/// @brief Whether the store is known to name no baseline, nor to name one later.
[[nodiscard]] bool is_baseline_absent(const stream_origins& origins, const core::service_id& service);

/// @brief Whether the store is to be asked for the baseline.
[[nodiscard]] bool is_baseline_check_due(const service_versions& versions, core::instant now);

/// @brief Has the baseline read again. One that is named holds until then.
void request_check(stream_baseline& baseline);

/// @brief Has the baseline read again if the store has removed a version that was registered: it may have
/// named one version since, and another baseline.
/// @param stored The versions that the store names now.
void request_check_after_removal(stream_origins& origins,
                                 const core::service_id& service,
                                 std::span<const std::string> stored);

/// @brief Marks all baselines as unread, after the store was restored from a copy.
void forget_baselines(stream_origins& origins);

} // namespace hibiscusfall::dispatch
