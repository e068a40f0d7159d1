#include "hibiscusfall/dispatch/crash_attribution.hpp"

#include "crash_causes.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hibiscusfall::dispatch
{

namespace
{

using detail::contains_all;
using detail::is_exonerated;
using segment_ids = std::vector<std::uint64_t>;

crash_cause* find_broader(crash_attribution& state, const crash_cause& cause)
{
    const auto found = std::find_if(state.causes.begin(), state.causes.end(), [&](const crash_cause& known) {
        return contains_all(known.segments, cause.segments);
    });
    return found == state.causes.end() ? nullptr : &*found;
}

void remove_exonerated(crash_attribution& state)
{
    for (auto& cause : state.causes) {
        std::erase_if(cause.segments,
                      [&](auto segment) { return is_exonerated(state, segment, cause.last_crash); });
    }
    std::erase_if(state.causes, [](const crash_cause& cause) { return cause.segments.empty(); });
}

/// Extends the known causes that explain a suspect's crash.
void extend_causes(crash_attribution& state, const crash_suspect& suspect)
{
    for (auto& cause : state.causes) {
        if (!contains_all(suspect.segments, cause.segments)) {
            continue;
        }
        if (suspect.crashed_at > cause.last_crash + cause.hold) {
            cause.hold = std::min(cause.hold * 2, max_hold);
            cause.confirmed = true;
        }
        if (cause.team != suspect.team) {
            cause.team.reset();
        }
        cause.last_crash = std::max(cause.last_crash, suspect.crashed_at);
    }
}

std::span<const prompt_segment> shared_segments(const prompt& prompt)
{
    const std::span<const prompt_segment> all{prompt.segments};
    return all.empty() ? all : all.first(all.size() - 1);
}

bool is_under_suspicion(const crash_attribution& state, std::uint64_t segment)
{
    const auto has = [&](const segment_ids& segments, core::instant crashed_at) {
        return std::binary_search(segments.begin(), segments.end(), segment) &&
               !is_exonerated(state, segment, crashed_at);
    };
    return std::any_of(state.suspects.begin(),
                       state.suspects.end(),
                       [&](const crash_suspect& each) { return has(each.segments, each.crashed_at); }) ||
           std::any_of(state.causes.begin(), state.causes.end(), [&](const crash_cause& each) {
               return has(each.segments, each.last_crash);
           });
}

} // namespace

std::vector<std::uint64_t>
suspect_segments(const crash_attribution& state, const prompt& prompt, core::instant now)
{
    segment_ids segments;
    for (const auto& segment : shared_segments(prompt)) {
        const auto started = state.started.find(segment.id);
        const bool served = started != state.started.end() && started->second + start_validity >= now;
        if (!served && segments.size() < max_suspect_segments) {
            segments.push_back(segment.id);
        }
    }
    std::sort(segments.begin(), segments.end());
    segments.erase(std::unique(segments.begin(), segments.end()), segments.end());
    return segments;
}

std::vector<std::uint64_t> record_start(crash_attribution& state, const prompt& prompt, core::instant now)
{
    segment_ids exonerated;
    for (const auto& segment : shared_segments(prompt)) {
        state.started[segment.id] = now;
        if (is_under_suspicion(state, segment.id)) {
            state.exonerated[segment.id] = now;
            exonerated.push_back(segment.id);
        }
    }
    state.changed = state.changed || !exonerated.empty();
    return exonerated;
}

std::vector<std::uint64_t>
record_suspect(crash_attribution& state, const crash_suspect& suspect, core::instant now)
{
    const bool known =
        std::any_of(state.suspects.begin(), state.suspects.end(), [&](const crash_suspect& each) {
            return each.endpoint == suspect.endpoint && each.team == suspect.team &&
                   each.segments == suspect.segments;
        });
    if (known || suspect.segments.empty() || suspect.crashed_at + suspect_retention <= now) {
        return {};
    }
    if (state.suspects.size() >= max_suspects) {
        state.suspects.erase(std::min_element(
            state.suspects.begin(), state.suspects.end(), [](const crash_suspect& a, const crash_suspect& b) {
                return a.crashed_at < b.crashed_at;
            }));
    }
    state.suspects.push_back(suspect);
    segment_ids exonerated;
    for (const auto segment : suspect.segments) {
        const auto started = state.started.find(segment);
        if (started != state.started.end() && started->second + start_validity >= suspect.crashed_at &&
            !is_exonerated(state, segment, suspect.crashed_at)) {
            state.exonerated[segment] = started->second;
            exonerated.push_back(segment);
        }
    }
    extend_causes(state, suspect);
    state.changed = true;
    return exonerated;
}

void record_exoneration(crash_attribution& state, std::uint64_t segment, core::instant at)
{
    const auto [position, added] = state.exonerated.try_emplace(segment, at);
    if (added || position->second < at) {
        position->second = std::max(position->second, at);
        state.changed = true;
    }
}

std::vector<std::uint64_t> record_cause(crash_attribution& state, const crash_cause& cause, core::instant now)
{
    if (cause.segments.empty() || cause.last_crash + cause.hold <= now) {
        return {};
    }
    segment_ids exonerated;
    std::copy_if(cause.segments.begin(),
                 cause.segments.end(),
                 std::back_inserter(exonerated),
                 [&](auto segment) { return is_exonerated(state, segment, cause.last_crash); });
    std::vector<const crash_suspect*> suspects;
    for (const auto& each : state.suspects) {
        if (contains_all(each.segments, cause.segments)) {
            suspects.push_back(&each);
        }
    }
    const auto known = std::find_if(state.causes.begin(), state.causes.end(), [&](const auto& each) {
        return contains_all(cause.segments, each.segments);
    });
    if (known != state.causes.end()) {
        known->hold = std::max(known->hold, cause.hold);
        known->last_crash = std::max(known->last_crash, cause.last_crash);
    } else if (exonerated.size() < cause.segments.size() &&
               detail::count_separate_crashes(suspects) < min_crashes && state.causes.size() < max_causes) {
        state.causes.push_back(cause);
        state.causes.back().confirmed = true;
        state.changed = true;
    }
    return exonerated;
}

void update_causes(crash_attribution& state, core::instant now)
{
    if (!std::exchange(state.changed, false)) {
        return;
    }
    remove_exonerated(state);
    const auto derived = detail::derive_causes(state);
    std::erase_if(state.causes, [&](const crash_cause& known) {
        const bool has_evidence = known.first_crash + suspect_retention > now;
        const bool still_derived = std::any_of(derived.begin(), derived.end(), [&](const crash_cause& each) {
            return contains_all(known.segments, each.segments);
        });
        return !known.confirmed && has_evidence && !still_derived;
    });
    for (const auto& each : derived) {
        if (auto* known = find_broader(state, each)) {
            known->segments = each.segments;
            known->team = known->team == each.team ? known->team : std::nullopt;
            known->crashes = std::max(known->crashes, each.crashes);
            known->first_crash = each.first_crash;
            known->last_crash = std::max(known->last_crash, each.last_crash);
        } else if (state.causes.size() < max_causes) {
            state.causes.push_back(each);
        }
    }
}

core::instant rejected_until(const crash_attribution& state, const crash_cause& cause)
{
    return cause.last_crash + cause.hold + state.trial_offset;
}

const crash_cause*
find_cause(const crash_attribution& state, const prompt& prompt, team_tag team, core::instant now)
{
    if (state.causes.empty()) {
        return nullptr;
    }
    segment_ids segments;
    for (const auto& segment : shared_segments(prompt)) {
        segments.push_back(segment.id);
    }
    std::sort(segments.begin(), segments.end());
    const auto found = std::find_if(state.causes.begin(), state.causes.end(), [&](const crash_cause& cause) {
        return now < rejected_until(state, cause) && cause.team.value_or(team) == team &&
               contains_all(segments, cause.segments);
    });
    return found == state.causes.end() ? nullptr : &*found;
}

bool is_suspect(const crash_attribution& state, const prompt& prompt)
{
    const auto segments = shared_segments(prompt);
    return std::any_of(segments.begin(), segments.end(), [&](const prompt_segment& each) {
        return is_under_suspicion(state, each.id);
    });
}

void expire(crash_attribution& state, core::instant now)
{
    std::erase_if(state.suspects,
                  [now](const crash_suspect& each) { return each.crashed_at + suspect_retention <= now; });
    std::erase_if(state.causes,
                  [&](const crash_cause& each) { return rejected_until(state, each) + max_hold <= now; });
    std::erase_if(state.started, [now](const auto& each) { return each.second + start_validity < now; });
    std::erase_if(state.exonerated,
                  [&](const auto& each) { return each.second + start_validity + suspect_retention < now; });
}

} // namespace hibiscusfall::dispatch
