#include "hibiscusfall/scheduling/cost_estimates.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusfall::scheduling
{

namespace
{

constexpr double weight_of_new = 0.2;
constexpr std::uint32_t enough_samples = 3;

/// Samples count as this many times the mean at most, so that a straggler says little.
constexpr double outlier = 4.0;
constexpr std::int32_t lowest_bucket = -16;
constexpr std::int32_t highest_bucket = 32;

/// Bucket of the entry over all requests.
constexpr std::int32_t any_bucket = highest_bucket + 1;

/// Hints within a factor of two share a bucket.
std::int32_t bucket_of(double hint)
{
    if (!(hint > 0)) {
        return lowest_bucket;
    }
    return std::clamp(static_cast<std::int32_t>(std::floor(std::log2(hint))), lowest_bucket, highest_bucket);
}

void touch(cost_estimates& state, const estimate_key& key, cost_estimate& entry)
{
    state.by_use.erase(entry.used);
    entry.used = ++state.uses;
    state.by_use[entry.used] = key;
}

void learn_one(cost_estimates& state, const estimate_key& key, double cost, core::duration run_time)
{
    auto& entry = state.entries[key];
    if (entry.samples >= enough_samples) {
        cost = std::min(cost, outlier * entry.cost);
        run_time = std::min(run_time, static_cast<int>(outlier) * entry.run_time);
    }
    const double weight = std::max(weight_of_new, 1.0 / (entry.samples + 1));
    const double change = weight * static_cast<double>((run_time - entry.run_time).count());
    entry.cost += weight * (cost - entry.cost);
    entry.run_time += core::duration{static_cast<std::int64_t>(change)};
    entry.samples = std::min(entry.samples + 1, 1'000'000U);
    touch(state, key, entry);
    if (state.entries.size() > state.capacity) {
        const auto oldest = state.by_use.begin();
        state.entries.erase(oldest->second);
        state.by_use.erase(oldest);
    }
}

const cost_estimate* find_settled(const cost_estimates& state, const estimate_key& key)
{
    const auto found = state.entries.find(key);
    return found != state.entries.end() && found->second.samples >= enough_samples ? &found->second : nullptr;
}

} // namespace

cost_estimate expect(const cost_estimates& state, const core::team_id& team, double hint)
{
    const auto bucket = bucket_of(hint);
    if (const auto* own = find_settled(state, {.team = team, .bucket = bucket})) {
        return *own;
    }
    if (const auto* all = find_settled(state, {.team = {}, .bucket = bucket})) {
        return *all;
    }
    return {.cost = std::max(hint, 0.0), .run_time = {}, .samples = 0, .used = 0};
}

cost_estimate expect_any(const cost_estimates& state)
{
    const auto found = state.entries.find({.team = {}, .bucket = any_bucket});
    return found == state.entries.end() ? cost_estimate{} : found->second;
}

void learn(
    cost_estimates& state, const core::team_id& team, double hint, double cost, core::duration run_time)
{
    const auto bucket = bucket_of(hint);
    learn_one(state, {.team = team, .bucket = bucket}, cost, run_time);
    learn_one(state, {.team = {}, .bucket = bucket}, cost, run_time);
    learn_one(state, {.team = {}, .bucket = any_bucket}, cost, run_time);
}

} // namespace hibiscusfall::scheduling
