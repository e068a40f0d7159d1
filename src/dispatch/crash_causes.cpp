#include "crash_causes.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace hibiscusfall::dispatch::detail
{

namespace
{

using trait_ids = std::vector<std::uint64_t>;

trait_ids remaining_traits(const crash_attribution& state, const crash_suspect& suspect)
{
    trait_ids remaining;
    std::copy_if(suspect.traits.begin(),
                 suspect.traits.end(),
                 std::back_inserter(remaining),
                 [&](auto trait) { return !is_exonerated(state, trait, suspect.crashed_at); });
    return remaining;
}

/// A suspect with the traits that are not exonerated.
struct open_suspect {
    const crash_suspect* suspect = nullptr;
    trait_ids traits;
};

using open_suspects = std::vector<open_suspect>;

/// The narrowest cause that is common to suspects. @pre There is at least one.
crash_cause common_cause(std::span<const open_suspect* const> suspects)
{
    const auto& first = *suspects.front();
    crash_cause cause{.traits = first.traits,
                      .team = first.suspect->team,
                      .first_crash = first.suspect->crashed_at,
                      .last_crash = first.suspect->crashed_at,
                      .hold = initial_hold};
    std::vector<const crash_suspect*> all;
    for (const auto* each : suspects) {
        trait_ids common;
        std::set_intersection(cause.traits.begin(),
                              cause.traits.end(),
                              each->traits.begin(),
                              each->traits.end(),
                              std::back_inserter(common));
        cause.traits = std::move(common);
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

/// The cause that suspects have in common, found by a trait that exactly these have.
struct candidate {
    std::uint64_t trait = 0;
    std::vector<const open_suspect*> suspects;
    crash_cause cause{};
    std::vector<endpoint_tag> endpoints{}; ///< Sorted.
};

/// Derives a candidate's members from its suspects. Without any it has no crashes.
void update_candidate(candidate& each)
{
    each.cause = each.suspects.empty() ? crash_cause{} : common_cause(each.suspects);
    each.endpoints.clear();
    for (const auto* suspect : each.suspects) {
        each.endpoints.push_back(suspect->suspect->endpoint);
    }
    std::sort(each.endpoints.begin(), each.endpoints.end());
    each.endpoints.erase(std::unique(each.endpoints.begin(), each.endpoints.end()), each.endpoints.end());
}

bool is_established(const candidate& each)
{
    return each.cause.crashes >= min_crashes;
}

/// The causes of separate crashes that are enough to establish them. Traits that the same suspects have in
/// common make one candidate.
std::vector<candidate> find_candidates(const open_suspects& open)
{
    std::vector<std::pair<std::uint64_t, const open_suspect*>> entries;
    for (const auto& each : open) {
        for (const auto trait : each.traits) {
            entries.emplace_back(trait, &each);
        }
    }
    std::sort(entries.begin(), entries.end());
    std::vector<candidate> candidates;
    std::set<std::vector<const open_suspect*>> known;
    for (auto position = entries.begin(); position != entries.end();) {
        candidate added{.trait = position->first, .suspects = {}};
        for (; position != entries.end() && position->first == added.trait; ++position) {
            added.suspects.push_back(position->second);
        }
        if (added.suspects.size() < min_crashes || !known.insert(added.suspects).second) {
            continue;
        }
        update_candidate(added);
        if (is_established(added)) {
            candidates.push_back(std::move(added));
        }
    }
    return candidates;
}

using candidates_by_endpoint = std::unordered_map<endpoint_tag, std::vector<candidate*>>;

candidates_by_endpoint index_by_endpoint(std::span<candidate> candidates)
{
    candidates_by_endpoint index;
    for (auto& each : candidates) {
        for (const auto endpoint : each.endpoints) {
            index[endpoint].push_back(&each);
        }
    }
    return index;
}

/// Whether another cause is as likely for some of a candidate's crashes. A third crash decides.
bool is_ambiguous(const candidate& each, const candidates_by_endpoint& index)
{
    const auto& traits = each.cause.traits;
    return each.cause.crashes == min_crashes &&
           std::any_of(each.endpoints.begin(), each.endpoints.end(), [&](endpoint_tag endpoint) {
               const auto& others = index.at(endpoint);
               return std::any_of(others.begin(), others.end(), [&](const candidate* other) {
                   return is_established(*other) &&
                          !std::binary_search(traits.begin(), traits.end(), other->trait);
               });
           });
}

/// The candidate with the most crashes that is not ambiguous; null if there is none.
const candidate* find_worst(std::span<const candidate> candidates, const candidates_by_endpoint& index)
{
    const candidate* worst = nullptr;
    const auto weight = [](const candidate& of) {
        return std::pair{of.cause.crashes, of.cause.traits.size()};
    };
    for (const auto& each : candidates) {
        if (is_established(each) && (worst == nullptr || weight(*worst) < weight(each)) &&
            !is_ambiguous(each, index)) {
            worst = &each;
        }
    }
    return worst;
}

/// Removes the suspects of crashes that a cause explains from all candidates.
void remove_explained(std::span<const endpoint_tag> explained, candidates_by_endpoint& index)
{
    for (const auto endpoint : explained) {
        for (auto* each : index.at(endpoint)) {
            std::erase_if(each->suspects, [&](const open_suspect* suspect) {
                return suspect->suspect->endpoint == endpoint;
            });
            update_candidate(*each);
        }
        index.erase(endpoint);
    }
}

} // namespace

bool is_exonerated(const crash_attribution& state, std::uint64_t trait, core::instant crashed_at)
{
    const auto found = state.exonerated.find(trait);
    return found != state.exonerated.end() && found->second + answer_validity >= crashed_at;
}

bool contains_all(std::span<const std::uint64_t> sorted, std::span<const std::uint64_t> sorted_part)
{
    return std::includes(sorted.begin(), sorted.end(), sorted_part.begin(), sorted_part.end());
}

std::uint32_t count_separate_crashes(std::span<const crash_suspect* const> suspects)
{
    std::map<endpoint_tag, const crash_suspect*> crashes;
    for (const auto* each : suspects) {
        const auto [position, added] = crashes.try_emplace(each->endpoint, each);
        if (each->crashed_at < position->second->crashed_at) {
            position->second = each;
        }
    }
    std::vector<const crash_suspect*> in_order;
    in_order.reserve(crashes.size());
    for (const auto& [endpoint, first] : crashes) {
        in_order.push_back(first);
    }
    std::sort(in_order.begin(), in_order.end(), [](const crash_suspect* a, const crash_suspect* b) {
        return a->crashed_at < b->crashed_at;
    });
    std::uint32_t count = 0;
    core::instant window_start{};
    std::vector<std::uint32_t> arrivals;
    for (const auto* each : in_order) {
        const bool repeated = each->arrival != 0 &&
                              std::find(arrivals.begin(), arrivals.end(), each->arrival) != arrivals.end();
        arrivals.push_back(each->arrival);
        if (!repeated && (count == 0 || each->crashed_at - window_start > common_crash_window)) {
            ++count;
            window_start = each->crashed_at;
        }
    }
    return count;
}

std::vector<crash_cause> derive_causes(const crash_attribution& state)
{
    open_suspects open;
    for (const auto& each : state.suspects) {
        open.push_back({.suspect = &each, .traits = remaining_traits(state, each)});
    }
    auto candidates = find_candidates(open);
    auto index = index_by_endpoint(candidates);
    std::vector<crash_cause> causes;
    while (causes.size() < max_causes) {
        const auto* worst = find_worst(candidates, index);
        if (worst == nullptr) {
            break;
        }
        causes.push_back(worst->cause);
        const auto explained = worst->endpoints;
        remove_explained(explained, index);
    }
    return causes;
}

} // namespace hibiscusfall::dispatch::detail
