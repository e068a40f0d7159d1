#pragma once

#include "hibiscusfall/dispatch/prefix_cache.hpp"
#include "hibiscusfall/dispatch/request_traits.hpp"
#include "hibiscusfall/dispatch/team_shares.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @file
/// @brief Attribution of endpoint crashes to requests, or to segments that requests share.
/// @remarks Designed for requests that crash every endpoint that begins to run them: the same request sent
/// again and again, or requests that differ in all but one segment of their prompts. They arrive at any
/// instance, while sound requests share their team, their path and their other segments.

/// @brief A request that was in progress at an endpoint that crashed.
struct crash_suspect {
    endpoint_tag endpoint = 0;
    team_tag team = 0;
    std::vector<std::uint64_t> traits; ///< Sorted; those that can be the cause.
    core::instant crashed_at{};
    /// Tells the arrivals of requests at instances apart; zero if unknown. Crashes of attempts that an
    /// instance made for one arrival count as one, as they follow each other whatever the cause is.
    std::uint32_t arrival = 0;
};

/// @brief Traits to which crashes are attributed. Requests that have all of them are rejected.
struct crash_cause {
    std::vector<std::uint64_t> traits; ///< Sorted; never empty.
    std::optional<team_tag> team{};    ///< Set while all crashes came from requests of one team.
    std::uint32_t crashes = 0;
    core::instant first_crash{};
    core::instant last_crash{};
    core::duration hold{};  ///< Requests are rejected for this long after the last crash.
    bool confirmed = false; ///< Found by a peer or confirmed by a trial; only an answer on it withdraws it.
    std::uint32_t failed_trials = 0; ///< Requests let through after a hold that crashed their endpoints.
    core::instant trial_sent{};      ///< When the last one was let through, at any instance.
};

/// @brief What an instance knows of crashes and their causes.
/// @remarks Suspects of all instances form a set, and so do the exonerated traits. Reports may be lost,
/// repeated, late or reordered; each crash of an endpoint counts once.
struct crash_attribution {
    std::vector<crash_suspect> suspects;
    std::vector<crash_cause> causes;
    /// Traits of suspects that an answer at any instance has exonerated, with the time of the last one.
    std::unordered_map<std::uint64_t, core::instant> exonerated;
    /// Traits that an answer at this instance exonerates, with the time of the last one.
    std::unordered_map<std::uint64_t, core::instant> answered;
    /// Added to the hold of a cause. Differs between instances, so that one of them makes the trial.
    core::duration trial_offset{};
    bool changed = false; ///< Whether something was recorded since the last call of @c update_causes.
};

/// @brief An answer this long before a crash still exonerates its traits.
inline constexpr core::duration answer_validity = std::chrono::seconds{3};
/// @brief Crashes within this time count as one, as a common cause outside of the requests is likely.
inline constexpr core::duration common_crash_window = std::chrono::milliseconds{300};
/// @brief Separate crashes that establish a cause.
inline constexpr std::uint32_t min_crashes = 2;
/// @brief Time for which requests are rejected after the last crash; doubled each time a trial crashes.
inline constexpr core::duration initial_hold = std::chrono::seconds{60};
/// @brief Trials that may crash before a cause is held for @c max_hold.
inline constexpr std::uint32_t max_failed_trials = 2;
inline constexpr core::duration max_hold = std::chrono::hours{24};
/// @brief Time without another trial after one was sent: the longest that its result may take.
inline constexpr core::duration trial_time = std::chrono::seconds{15};
/// @brief Time for which a cause is remembered after its hold, so that one crash is enough to hold it again.
inline constexpr core::duration cause_retention = std::chrono::minutes{10};
/// @brief Time for which a suspect is kept.
inline constexpr core::duration suspect_retention = std::chrono::seconds{60};
/// @brief Limits that bound memory and the size of reports.
inline constexpr std::size_t max_suspects = 1024;
inline constexpr std::size_t max_causes = 128;
inline constexpr std::size_t max_suspect_traits = 32;

/// @brief Whether crashes are being attributed. While none are, no request is suspect.
[[nodiscard]] inline bool has_findings(const crash_attribution& state) noexcept
{
    return !state.suspects.empty() || !state.causes.empty();
}

/// @brief The traits of a request that can be the cause of its endpoint's crash: sorted, without those that
/// an answer has exonerated recently.
[[nodiscard]] std::vector<std::uint64_t>
suspect_traits(const crash_attribution& state, const request_traits& request, core::instant now);

/// @brief Records that an answer exonerates traits.
/// @returns Those that were under suspicion, to be reported to the other instances.
std::vector<std::uint64_t>
exonerate(crash_attribution& state, std::span<const std::uint64_t> traits, core::instant now);

/// @brief Records that the answer to a request has begun. This exonerates the segments of its prompt.
/// @returns Traits that this exonerates, to be reported to the other instances.
std::vector<std::uint64_t>
record_start(crash_attribution& state, const request_traits& request, core::instant now);

/// @brief Records that a request was answered completely. This exonerates the request itself.
/// @returns Traits that this exonerates, to be reported to the other instances.
std::vector<std::uint64_t>
record_answer(crash_attribution& state, const request_traits& request, core::instant now);

/// @brief Records a suspect that this instance or another one has found.
/// @returns Traits that an answer at this instance exonerates, to be reported to the others.
std::vector<std::uint64_t>
record_suspect(crash_attribution& state, const crash_suspect& suspect, core::instant now);

/// @brief Records that an answer at another instance exonerates a trait.
void record_exoneration(crash_attribution& state, std::uint64_t trait, core::instant at);

/// @brief Records a cause that another instance has found, unless this instance knows its crashes itself.
/// @returns Traits of the cause that were exonerated since, to be reported to the others.
std::vector<std::uint64_t>
record_cause(crash_attribution& state, const crash_cause& cause, core::instant now);

/// @brief Derives the causes from what was recorded. Called after each batch of records.
void update_causes(crash_attribution& state, core::instant now);

/// @brief Time until which this instance rejects requests because of a cause.
[[nodiscard]] core::instant rejected_until(const crash_attribution& state, const crash_cause& cause);

/// @brief The cause because of which a request has to be rejected; null if there is none.
[[nodiscard]] const crash_cause*
find_cause(const crash_attribution& state, const request_traits& request, team_tag team, core::instant now);

/// @brief Records that a request is sent to an endpoint. If it has the traits of causes whose hold has
/// passed, it is their trial, and further requests are rejected until its result is known.
/// @returns These causes, to be reported to the others.
std::vector<crash_cause>
record_sending(crash_attribution& state, const request_traits& request, team_tag team, core::instant now);

/// @brief Whether a request has a trait that is suspected of an earlier crash. Such a request is not sent
/// again after the crash of its own endpoint.
[[nodiscard]] bool is_suspect(const crash_attribution& state, const request_traits& request);

/// @brief Removes suspects, causes and answers that are too old to matter. Called once per second.
void expire(crash_attribution& state, core::instant now);

} // namespace hibiscusfall::dispatch
