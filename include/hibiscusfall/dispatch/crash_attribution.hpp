#pragma once

#include "hibiscusfall/dispatch/prefix_cache.hpp"
#include "hibiscusfall/dispatch/prompt.hpp"
#include "hibiscusfall/dispatch/team_shares.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @file
/// @brief Attribution of engine crashes to segments of prompts.
/// @remarks Designed for requests that crash every engine that begins an answer on one of their segments.
/// They arrive at any instance and differ in all else, while other requests share their team and other
/// segments.

/// @brief A request whose engine crashed before the request's answer began.
struct crash_suspect {
    endpoint_tag endpoint = 0;
    team_tag team = 0;
    std::vector<std::uint64_t> segments; ///< Sorted; those that other requests may share.
    core::instant crashed_at{};
};

/// @brief Segments to which crashes are attributed. Requests that have all of them are rejected.
struct crash_cause {
    std::vector<std::uint64_t> segments; ///< Sorted; never empty.
    std::optional<team_tag> team;        ///< Set while all crashes came from requests of one team.
    std::uint32_t crashes = 0;
    core::instant first_crash{};
    core::instant last_crash{};
    core::duration hold{};  ///< Requests are rejected for this long after the last crash.
    bool confirmed = false; ///< Found by a peer or confirmed by a trial; only an answer on it withdraws it.
};

/// @brief What an instance knows of crashes and their causes.
/// @remarks Suspects of all instances form a set, and so do the segments on which an answer has begun.
/// Reports may be lost, repeated, late or reordered; each crash of an endpoint counts once.
struct crash_attribution {
    std::vector<crash_suspect> suspects;
    std::vector<crash_cause> causes;
    /// Segments of suspects on which an answer has begun at any instance, with the time of the last one.
    std::unordered_map<std::uint64_t, core::instant> exonerated;
    /// Segments on which an answer has begun at this instance, with the time of the last one.
    std::unordered_map<std::uint64_t, core::instant> started;
    /// Added to the hold of a cause. Differs between instances, so that one of them tries the segments first.
    core::duration trial_offset{};
    bool changed = false; ///< Whether something was recorded since the last call of @c update_causes.
};

/// @brief An answer that began this long before a crash still exonerates its segments.
inline constexpr core::duration start_validity = std::chrono::seconds{3};
/// @brief Crashes within this time count as one, as a common cause outside of the prompts is likely.
inline constexpr core::duration common_crash_window = std::chrono::milliseconds{300};
/// @brief Separate crashes that establish a cause.
inline constexpr std::uint32_t min_crashes = 2;
/// @brief Time for which requests are rejected after the last crash; doubled each time a trial crashes.
inline constexpr core::duration initial_hold = std::chrono::seconds{60};
inline constexpr core::duration max_hold = std::chrono::minutes{10};
/// @brief Time for which a suspect is kept.
inline constexpr core::duration suspect_retention = std::chrono::seconds{60};
/// @brief Limits that bound memory and the size of reports.
inline constexpr std::size_t max_suspects = 256;
inline constexpr std::size_t max_causes = 64;
inline constexpr std::size_t max_suspect_segments = 32;

/// @brief The segments of a prompt that can be the cause of a crash: sorted, without the last one, which no
/// other request has, and without those on which an answer has begun recently.
[[nodiscard]] std::vector<std::uint64_t>
suspect_segments(const crash_attribution& state, const prompt& prompt, core::instant now);

/// @brief Records that an answer to a prompt has begun.
/// @returns Segments that this exonerates, to be reported to the other instances.
std::vector<std::uint64_t> record_start(crash_attribution& state, const prompt& prompt, core::instant now);

/// @brief Records a suspect that this instance or another one has found.
/// @returns Segments on which this instance has seen an answer begin, to be reported to the others.
std::vector<std::uint64_t>
record_suspect(crash_attribution& state, const crash_suspect& suspect, core::instant now);

/// @brief Records that another instance has seen an answer on a segment begin.
void record_exoneration(crash_attribution& state, std::uint64_t segment, core::instant at);

/// @brief Records a cause that another instance has found, unless this instance knows its crashes itself.
/// @returns Segments of the cause on which an answer has begun since, to be reported to the others.
std::vector<std::uint64_t>
record_cause(crash_attribution& state, const crash_cause& cause, core::instant now);

/// @brief Derives the causes from what was recorded. Called after each batch of records.
void update_causes(crash_attribution& state, core::instant now);

/// @brief Time until which this instance rejects requests because of a cause.
[[nodiscard]] core::instant rejected_until(const crash_attribution& state, const crash_cause& cause);

/// @brief The cause because of which a request has to be rejected; null if there is none.
[[nodiscard]] const crash_cause*
find_cause(const crash_attribution& state, const prompt& prompt, team_tag team, core::instant now);

/// @brief Whether a request has a segment that is suspected of an earlier crash. Such a request is not sent
/// again after the crash of its own engine.
[[nodiscard]] bool is_suspect(const crash_attribution& state, const prompt& prompt);

/// @brief Removes suspects, causes and answers that are too old to matter. Called once per second.
void expire(crash_attribution& state, core::instant now);

} // namespace hibiscusfall::dispatch
