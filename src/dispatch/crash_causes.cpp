#include "crash_causes.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace hibiscusfall::dispatch::detail
{

namespace
{

using segment_ids = std::vector<std::uint64_t>;

segment_ids remaining_segments(const crash_attribution& state, const crash_suspect& suspect)
{
    segment_ids remaining;
    std::copy_if(suspect.segments.begin(),
                 suspect.segments.end(),
                 std::back_inserter(remaining),
                 [&](auto segment) { return !is_exonerated(state, segment, suspect.crashed_at); });
    return remaining;
}

/// A suspect with the segments that are not exonerated.
struct open_suspect {
    const crash_suspect* suspect = nullptr;
    segment_ids segments;
};

using open_suspects = std::vector<open_suspect>;

/// The narrowest cause that is common to suspects. @pre There is at least one.
crash_cause common_cause(std::span<const open_suspect* const> suspects)
{
    const auto& first = *suspects.front();
    crash_cause cause{.segments = first.segments,
                      .team = first.suspect->team,
                      .first_crash = first.suspect->crashed_at,
                      .last_crash = first.suspect->crashed_at,
                      .hold = initial_hold};
    std::vector<const crash_suspect*> all;
    for (const auto* each : suspects) {
        segment_ids common;
        std::set_intersection(cause.segments.begin(),
                              cause.segments.end(),
                              each->segments.begin(),
                              each->segments.end(),
                              std::back_inserter(common));
        cause.segments = std::move(common);
        if (cause.team != each->suspect->team) {
            cause.team.reset();
        }
        cause.first_crash = std::min(cause.first_crash, each->suspect->crashed_at);
        cause.last_crash = std::max(cause.last_crash, each->suspect->crashed_at);
        all.push_back(each->suspect);
    }
    cause.crashes = count_separate_crashes(all);
    return cause;
}

/// A segment with the cause that its suspects have in common.
struct candidate {
    std::uint64_t segment = 0;
    crash_cause cause;
    std::set<endpoint_tag> endpoints;
};

/// The segments of separate crashes that are enough to establish a cause.
std::vector<candidate> find_candidates(const open_suspects& open)
{
    std::map<std::uint64_t, std::vector<const open_suspect*>> groups;
    for (const auto& each : open) {
        for (const auto segment : each.segments) {
            groups[segment].push_back(&each);
        }
    }
    std::vector<candidate> candidates;
    for (const auto& [segment, suspects] : groups) {
        candidate added{.segment = segment, .cause = common_cause(suspects)};
        for (const auto* each : suspects) {
            added.endpoints.insert(each->suspect->endpoint);
        }
        if (added.cause.crashes >= min_crashes) {
            candidates.push_back(std::move(added));
        }
    }
    return candidates;
}

/// Whether another cause is as likely for some of a candidate's crashes. A third crash decides.
bool is_ambiguous(const candidate& each, std::span<const candidate> candidates)
{
    return each.cause.crashes == min_crashes &&
           std::any_of(candidates.begin(), candidates.end(), [&](const candidate& other) {
               return !std::binary_search(
                          each.cause.segments.begin(), each.cause.segments.end(), other.segment) &&
                      std::any_of(other.endpoints.begin(), other.endpoints.end(), [&](endpoint_tag endpoint) {
                          return each.endpoints.contains(endpoint);
                      });
           });
}

/// Removes the suspects of all crashes that a cause explains.
void remove_explained(open_suspects& open, const crash_cause& cause)
{
    std::vector<endpoint_tag> explained;
    for (const auto& each : open) {
        if (contains_all(each.segments, cause.segments)) {
            explained.push_back(each.suspect->endpoint);
        }
    }
    std::erase_if(open, [&](const open_suspect& each) {
        return std::find(explained.begin(), explained.end(), each.suspect->endpoint) != explained.end();
    });
}

} // namespace

bool is_exonerated(const crash_attribution& state, std::uint64_t segment, core::instant crashed_at)
{
    const auto found = state.exonerated.find(segment);
    return found != state.exonerated.end() && found->second + start_validity >= crashed_at;
}

bool contains_all(std::span<const std::uint64_t> sorted, std::span<const std::uint64_t> sorted_part)
{
    return std::includes(sorted.begin(), sorted.end(), sorted_part.begin(), sorted_part.end());
}

std::uint32_t count_separate_crashes(std::span<const crash_suspect* const> suspects)
{
    std::map<endpoint_tag, core::instant> crashes;
    for (const auto* each : suspects) {
        const auto [position, added] = crashes.try_emplace(each->endpoint, each->crashed_at);
        position->second = std::min(position->second, each->crashed_at);
    }
    std::vector<core::instant> times;
    times.reserve(crashes.size());
    for (const auto& [endpoint, at] : crashes) {
        times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    std::uint32_t count = 0;
    core::instant window_start{};
    for (const auto at : times) {
        if (count == 0 || at - window_start > common_crash_window) {
            ++count;
            window_start = at;
        }
    }
    return count;
}

std::vector<crash_cause> derive_causes(const crash_attribution& state)
{
    open_suspects open;
    for (const auto& each : state.suspects) {
        open.push_back({.suspect = &each, .segments = remaining_segments(state, each)});
    }
    std::vector<crash_cause> causes;
    while (true) {
        const auto candidates = find_candidates(open);
        const candidate* worst = nullptr;
        for (const auto& each : candidates) {
            const auto weight = [](const candidate& of) {
                return std::pair{of.cause.crashes, of.cause.segments.size()};
            };
            if (!is_ambiguous(each, candidates) && (worst == nullptr || weight(*worst) < weight(each))) {
                worst = &each;
            }
        }
        if (worst == nullptr) {
            return causes;
        }
        remove_explained(open, worst->cause);
        causes.push_back(worst->cause);
    }
}

} // namespace hibiscusfall::dispatch::detail
