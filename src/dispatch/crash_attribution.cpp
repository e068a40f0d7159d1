#include "hibiscusfall/dispatch/crash_attribution.hpp"

#include "crash_causes.hpp"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace hibiscusfall::dispatch
{

namespace
{

using detail::contains_all;
using detail::is_exonerated;
using trait_ids = std::vector<std::uint64_t>;

crash_cause* find_broader(crash_attribution& state, const crash_cause& cause)
{
    const auto found = std::find_if(state.causes.begin(), state.causes.end(), [&](const crash_cause& known) {
        return contains_all(known.traits, cause.traits);
    });
    return found == state.causes.end() ? nullptr : &*found;
}

void remove_exonerated(crash_attribution& state)
{
    for (auto& cause : state.causes) {
        std::erase_if(cause.traits,
                      [&](auto trait) { return is_exonerated(state, trait, cause.last_crash); });
    }
    std::erase_if(state.causes, [](const crash_cause& cause) { return cause.traits.empty(); });
}

/// The hold after a trial has crashed.
core::duration next_hold(const crash_cause& cause)
{
    return cause.failed_trials >= max_failed_trials ? max_hold : std::min(cause.hold * 2, max_hold);
}

/// Extends the known causes that explain a suspect's crash.
void extend_causes(crash_attribution& state, const crash_suspect& suspect)
{
    for (auto& cause : state.causes) {
        if (!contains_all(suspect.traits, cause.traits)) {
            continue;
        }
        if (suspect.crashed_at > cause.last_crash + cause.hold) {
            ++cause.failed_trials;
            cause.hold = next_hold(cause);
            cause.confirmed = true;
        }
        if (cause.team != suspect.team) {
            cause.team.reset();
        }
        cause.last_crash = std::max(cause.last_crash, suspect.crashed_at);
    }
}

/// Times of one event that instances state differ by the time that their reports took, and by that of the
/// reports from which they learned it.
constexpr core::duration reported_time_tolerance = std::chrono::seconds{3};

/// Takes over the time of a later event. The time of the same event is kept: with the later one of each
/// report, instances that repeat it to each other would move it on.
void take_later(core::instant& known, core::instant reported)
{
    known = reported > known + reported_time_tolerance ? reported : known;
}

/// Time until which all instances reject requests because of a cause.
core::instant held_until(const crash_cause& cause)
{
    return std::max(cause.last_crash + cause.hold, cause.trial_sent + trial_time);
}

/// Adds a cause. At the limit it takes the place of the one whose hold ends first.
void add_cause(crash_attribution& state, const crash_cause& cause)
{
    if (state.causes.size() >= max_causes) {
        state.causes.erase(std::min_element(
            state.causes.begin(), state.causes.end(), [](const crash_cause& a, const crash_cause& b) {
                return held_until(a) < held_until(b);
            }));
    }
    state.causes.push_back(cause);
}

bool is_under_suspicion(const crash_attribution& state, std::uint64_t trait)
{
    const auto has = [&](const trait_ids& traits, core::instant crashed_at) {
        return std::binary_search(traits.begin(), traits.end(), trait) &&
               !is_exonerated(state, trait, crashed_at);
    };
    return std::any_of(state.suspects.begin(),
                       state.suspects.end(),
                       [&](const crash_suspect& each) { return has(each.traits, each.crashed_at); }) ||
           std::any_of(state.causes.begin(), state.causes.end(), [&](const crash_cause& each) {
               return has(each.traits, each.last_crash);
           });
}

/// All traits of a request, sorted.
trait_ids all_traits(const request_traits& request)
{
    auto traits = request.segments;
    if (request.digest) {
        traits.insert(std::upper_bound(traits.begin(), traits.end(), *request.digest), *request.digest);
    }
    return traits;
}

bool concerns(const crash_cause& cause, const trait_ids& traits, team_tag team)
{
    return cause.team.value_or(team) == team && contains_all(traits, cause.traits);
}

} // namespace

std::vector<std::uint64_t>
suspect_traits(const crash_attribution& state, const request_traits& request, core::instant now)
{
    auto traits = request.segments;
    std::erase_if(traits, [&](auto trait) {
        const auto answered = state.answered.find(trait);
        return answered != state.answered.end() && answered->second + answer_validity >= now;
    });
    // The digest is kept although its request was answered: record_suspect() finds that, and tells the
    // others.
    traits.resize(std::min(traits.size(), max_suspect_traits - 1));
    return all_traits({.segments = std::move(traits), .digest = request.digest});
}

std::vector<std::uint64_t>
exonerate(crash_attribution& state, std::span<const std::uint64_t> traits, core::instant now)
{
    trait_ids exonerated;
    for (const auto trait : traits) {
        state.answered[trait] = now;
        if (is_under_suspicion(state, trait)) {
            state.exonerated[trait] = now;
            exonerated.push_back(trait);
        }
    }
    state.changed = state.changed || !exonerated.empty();
    return exonerated;
}

std::vector<std::uint64_t>
record_start(crash_attribution& state, const request_traits& request, core::instant now)
{
    return exonerate(state, request.segments, now);
}

std::vector<std::uint64_t>
record_answer(crash_attribution& state, const request_traits& request, core::instant now)
{
    return request.digest ? exonerate(state, {&*request.digest, 1}, now) : trait_ids{};
}

std::vector<std::uint64_t>
record_suspect(crash_attribution& state, const crash_suspect& suspect, core::instant now)
{
    const bool known =
        std::any_of(state.suspects.begin(), state.suspects.end(), [&](const crash_suspect& each) {
            return each.endpoint == suspect.endpoint && each.team == suspect.team &&
                   each.traits == suspect.traits;
        });
    if (known || suspect.traits.empty() || suspect.crashed_at + suspect_retention <= now) {
        return {};
    }
    if (state.suspects.size() >= max_suspects) {
        // Without its suspects a cause could not be derived again, although no answer has cleared it.
        for (auto& cause : state.causes) {
            cause.confirmed = true;
        }
        state.suspects.erase(std::min_element(
            state.suspects.begin(), state.suspects.end(), [](const crash_suspect& a, const crash_suspect& b) {
                return a.crashed_at < b.crashed_at;
            }));
    }
    state.suspects.push_back(suspect);
    trait_ids exonerated;
    for (const auto trait : suspect.traits) {
        const auto answered = state.answered.find(trait);
        if (answered != state.answered.end() && answered->second + answer_validity >= suspect.crashed_at &&
            !is_exonerated(state, trait, suspect.crashed_at)) {
            state.exonerated[trait] = answered->second;
            exonerated.push_back(trait);
        }
    }
    extend_causes(state, suspect);
    state.changed = true;
    return exonerated;
}

void record_exoneration(crash_attribution& state, std::uint64_t trait, core::instant at)
{
    const auto [position, added] = state.exonerated.try_emplace(trait, at);
    if (added || position->second < at) {
        position->second = std::max(position->second, at);
        state.changed = true;
    }
}

std::vector<std::uint64_t> record_cause(crash_attribution& state, const crash_cause& cause, core::instant now)
{
    if (cause.traits.empty() || held_until(cause) <= now) {
        return {};
    }
    trait_ids exonerated;
    std::copy_if(cause.traits.begin(), cause.traits.end(), std::back_inserter(exonerated), [&](auto trait) {
        return is_exonerated(state, trait, cause.last_crash);
    });
    std::vector<const crash_suspect*> suspects;
    for (const auto& each : state.suspects) {
        if (contains_all(each.traits, cause.traits)) {
            suspects.push_back(&each);
        }
    }
    const auto known = std::find_if(state.causes.begin(), state.causes.end(), [&](const auto& each) {
        return contains_all(cause.traits, each.traits);
    });
    if (known != state.causes.end()) {
        known->hold = std::max(known->hold, cause.hold);
        take_later(known->last_crash, cause.last_crash);
        take_later(known->trial_sent, cause.trial_sent);
    } else if (exonerated.size() < cause.traits.size() &&
               detail::count_separate_crashes(suspects) < min_crashes) {
        add_cause(state, cause);
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
            return contains_all(known.traits, each.traits);
        });
        return !known.confirmed && has_evidence && !still_derived;
    });
    for (const auto& each : derived) {
        if (auto* known = find_broader(state, each)) {
            known->traits = each.traits;
            known->team = known->team == each.team ? known->team : std::nullopt;
            known->crashes = std::max(known->crashes, each.crashes);
            known->first_crash = each.first_crash;
            known->last_crash = std::max(known->last_crash, each.last_crash);
        } else {
            add_cause(state, each);
        }
    }
}

core::instant rejected_until(const crash_attribution& state, const crash_cause& cause)
{
    return std::max(cause.last_crash + cause.hold + state.trial_offset, cause.trial_sent + trial_time);
}

const crash_cause*
find_cause(const crash_attribution& state, const request_traits& request, team_tag team, core::instant now)
{
    if (state.causes.empty()) {
        return nullptr;
    }
    const auto traits = all_traits(request);
    const auto found = std::find_if(state.causes.begin(), state.causes.end(), [&](const crash_cause& cause) {
        return now < rejected_until(state, cause) && concerns(cause, traits, team);
    });
    return found == state.causes.end() ? nullptr : &*found;
}

std::vector<crash_cause>
record_sending(crash_attribution& state, const request_traits& request, team_tag team, core::instant now)
{
    std::vector<crash_cause> tried;
    if (state.causes.empty()) {
        return tried;
    }
    const auto traits = all_traits(request);
    for (auto& cause : state.causes) {
        if (concerns(cause, traits, team)) {
            cause.trial_sent = now;
            tried.push_back(cause);
        }
    }
    return tried;
}

bool is_suspect(const crash_attribution& state, const request_traits& request)
{
    const auto traits = all_traits(request);
    return std::any_of(
        traits.begin(), traits.end(), [&](auto trait) { return is_under_suspicion(state, trait); });
}

void expire(crash_attribution& state, core::instant now)
{
    std::erase_if(state.suspects,
                  [now](const crash_suspect& each) { return each.crashed_at + suspect_retention <= now; });
    std::erase_if(state.causes, [&](const crash_cause& each) {
        return rejected_until(state, each) + cause_retention <= now;
    });
    std::erase_if(state.answered, [now](const auto& each) { return each.second + answer_validity < now; });
    std::erase_if(state.exonerated,
                  [&](const auto& each) { return each.second + answer_validity + suspect_retention < now; });
}

} // namespace hibiscusfall::dispatch
