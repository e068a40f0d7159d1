#include "hibiscusfall/scheduling/endpoint_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace hibiscusfall::scheduling
{

namespace
{

constexpr core::duration shortest_backoff = std::chrono::milliseconds{500};
constexpr core::duration longest_backoff = std::chrono::seconds{10};

/// Finish times within this factor count as equal.
constexpr double nearly_equal = 1.15;

/// An endpoint this much slower than its peers loses slots.
constexpr double slow = 1.6;

/// An endpoint this much slower gets probes only.
constexpr double very_slow = 3.0;

bool has_room(const endpoint_slots& endpoint,
              const scheduler_options& options,
              bool is_long,
              bool short_waits)
{
    if (endpoint.busy >= endpoint.limit) {
        return false;
    }
    const auto long_limit =
        std::max(1U, static_cast<std::uint32_t>(endpoint.limit * options.long_slot_share));
    return !is_long || !short_waits || endpoint.busy_long < long_limit;
}

double expected_finish(const endpoint_slots& endpoint)
{
    return endpoint.speed.slowdown * (1.0 + static_cast<double>(endpoint.busy) / endpoint.declared);
}

std::uint64_t prefix_weight(std::uint64_t prefix, const core::endpoint_id& id)
{
    return XXH3_64bits_withSeed(id.view().data(), id.view().size(), prefix);
}

} // namespace

bool takes_work(const endpoint_slots& endpoint, core::instant now) noexcept
{
    return !endpoint.draining && !endpoint.removed && endpoint.closed_until <= now;
}

std::optional<endpoint_choice> choose_endpoint(const endpoint_table& table,
                                               const scheduler_options& options,
                                               const waiting_ticket& ticket,
                                               bool short_waits,
                                               core::instant now)
{
    std::vector<std::pair<double, const core::endpoint_id*>> able;
    for (const auto& [id, endpoint] : table.entries) {
        const bool tried =
            std::find(ticket.excluded.begin(), ticket.excluded.end(), id) != ticket.excluded.end();
        if (!tried && takes_work(endpoint, now) && has_room(endpoint, options, ticket.is_long, short_waits)) {
            able.emplace_back(expected_finish(endpoint), &id);
        }
    }
    if (able.empty()) {
        return std::nullopt;
    }
    const auto best =
        *std::min_element(able.begin(), able.end(), [](auto& a, auto& b) { return a.first < b.first; });
    endpoint_choice choice{.id = *best.second,
                           .reason =
                               able.size() == 1 ? choice_reason::only_one : choice_reason::earliest_finish,
                           .alternatives = static_cast<std::uint32_t>(able.size())};
    if (ticket.prefix == 0 || able.size() == 1) {
        return choice;
    }
    std::uint64_t highest = 0;
    for (const auto& [finish, id] : able) {
        const auto weight = prefix_weight(ticket.prefix, *id);
        if (finish <= best.first * nearly_equal && weight >= highest) {
            highest = weight;
            choice.id = *id;
            choice.reason = choice_reason::prefix;
        }
    }
    return choice;
}

std::uint32_t count_free(const endpoint_table& table, core::instant now) noexcept
{
    std::uint32_t free = 0;
    for (const auto& [id, endpoint] : table.entries) {
        if (takes_work(endpoint, now) && endpoint.busy < endpoint.limit) {
            free += endpoint.limit - endpoint.busy;
        }
    }
    return free;
}

std::uint32_t count_slots(const endpoint_table& table) noexcept
{
    std::uint32_t slots = 0;
    for (const auto& [id, endpoint] : table.entries) {
        slots += endpoint.draining || endpoint.removed ? 0 : endpoint.limit;
    }
    return slots;
}

void occupy(endpoint_table& table, const core::endpoint_id& id, bool is_long, core::instant now)
{
    auto& endpoint = table.entries[id];
    ++endpoint.busy;
    endpoint.busy_long += is_long ? 1 : 0;
    if (endpoint.speed.slowdown >= very_slow || endpoint.failures > 0) {
        // One probe at a time, then a pause.
        endpoint.closed_until = now + 4 * shortest_backoff;
    }
}

void vacate(endpoint_table& table, const core::endpoint_id& id, bool is_long)
{
    const auto found = table.entries.find(id);
    if (found == table.entries.end()) {
        return;
    }
    auto& endpoint = found->second;
    endpoint.busy -= std::min(endpoint.busy, 1U);
    endpoint.busy_long -= std::min(endpoint.busy_long, is_long ? 1U : 0U);
    if (endpoint.removed && endpoint.busy == 0) {
        table.entries.erase(found);
    }
}

void mark_long(endpoint_table& table, const core::endpoint_id& id)
{
    if (const auto found = table.entries.find(id); found != table.entries.end()) {
        ++found->second.busy_long;
    }
}

namespace
{

/// Samples that are older say nothing of an endpoint's speed.
constexpr core::duration fresh = std::chrono::seconds{10};

/// Part of the way that the remembered level follows the endpoints' present level with each sample.
constexpr double memory_rise = 0.005;
constexpr double memory_fall = 0.02;

void remember(double& level, std::optional<double> present)
{
    if (!present) {
        return;
    }
    if (level <= 0) {
        level = *present;
        return;
    }
    level += (*present > level ? memory_rise : memory_fall) * (*present - level);
}

using measure = recent_samples endpoint_speed::*;

/// The median of one measure over the other endpoints with recent samples; 0 when there are none.
double
median_of_others(const endpoint_table& table, const core::endpoint_id& id, measure what, core::instant now)
{
    std::vector<double> values;
    for (const auto& [other, endpoint] : table.entries) {
        if (other == id) {
            continue;
        }
        if (const auto own = median_of(endpoint.speed.*what, now - fresh)) {
            values.push_back(*own);
        }
    }
    return median_of(std::move(values));
}

/// How much slower an endpoint is than the others. Without others it is held against the remembered
/// level with less effect: the cause may be common load, which fewer slots do not mend.
double slowdown_of(double own, double others, double remembered)
{
    if (own <= 0) {
        return 1.0;
    }
    if (others > 0) {
        return own / std::max(others, remembered);
    }
    constexpr double most = 2.0;
    return remembered > 0 ? std::min(std::sqrt(own / remembered), most) : 1.0;
}

void adapt_limit(endpoint_slots& endpoint)
{
    const double slowdown = endpoint.speed.slowdown;
    if (slowdown < slow) {
        endpoint.limit = std::min(endpoint.declared, endpoint.limit + 1);
        return;
    }
    const auto affordable = static_cast<std::uint32_t>(endpoint.declared / slowdown);
    endpoint.limit = slowdown >= very_slow ? 1 : std::clamp(affordable, 1U, endpoint.declared);
}

double
measure_slowdown(const endpoint_table& table, const core::endpoint_id& id, measure what, core::instant now)
{
    const double own = median_of(table.entries.at(id).speed.*what, now - fresh).value_or(0);
    const double remembered =
        what == &endpoint_speed::first_token ? table.remembered_first_token : table.remembered_between_tokens;
    return slowdown_of(own, median_of_others(table, id, what, now), remembered);
}

void measure_speed(endpoint_table& table, const core::endpoint_id& id, core::instant now)
{
    const double first = measure_slowdown(table, id, &endpoint_speed::first_token, now);
    const double between = measure_slowdown(table, id, &endpoint_speed::between_tokens, now);
    table.entries.at(id).speed.slowdown = std::max({1.0, first, between});
}

void note_first_token(endpoint_table& table,
                      endpoint_slots& endpoint,
                      std::uint64_t request,
                      core::duration value,
                      core::instant now)
{
    if (value > core::duration::zero()) {
        auto& window = endpoint.speed.first_token;
        note_sample(window, request, static_cast<double>(value.count()), now);
        remember(table.remembered_first_token, median_of(window, now - fresh));
    }
}

void note_between_tokens(endpoint_table& table,
                         endpoint_slots& endpoint,
                         std::uint64_t request,
                         core::duration value,
                         core::instant now)
{
    if (value > core::duration::zero()) {
        auto& window = endpoint.speed.between_tokens;
        note_sample(window, request, static_cast<double>(value.count()), now);
        remember(table.remembered_between_tokens, median_of(window, now - fresh));
    }
}

/// Requests that fail side by side count once: they were sent before the endpoint was closed.
void note_failure(endpoint_slots& endpoint, core::instant now)
{
    constexpr std::uint32_t most_doublings = 5;
    if (endpoint.failures > 0 && endpoint.failed_until > now) {
        return;
    }
    endpoint.failures = std::min(endpoint.failures + 1, most_doublings);
    const auto backoff = shortest_backoff * (1U << (endpoint.failures - 1));
    endpoint.failed_until = now + std::min<core::duration>(backoff, longest_backoff);
    endpoint.closed_until = endpoint.failed_until;
}

} // namespace

void observe_release(endpoint_table& table,
                     const core::endpoint_id& id,
                     std::uint64_t request,
                     const core::slot_usage& usage,
                     core::instant now)
{
    const auto found = table.entries.find(id);
    if (found == table.entries.end()) {
        return;
    }
    auto& endpoint = found->second;
    if (usage.endpoint_failed) {
        note_failure(endpoint, now);
        return;
    }
    if (!usage.answered) {
        return;
    }
    endpoint.failures = 0;
    note_first_token(table, endpoint, request, usage.first_token, now);
    note_between_tokens(table, endpoint, request, usage.between_tokens, now);
    measure_speed(table, id, now);
    adapt_limit(endpoint);
    if (endpoint.speed.slowdown < very_slow) {
        endpoint.closed_until = std::min(endpoint.closed_until, now);
    }
}

void observe_progress(endpoint_table& table,
                      const core::endpoint_id& id,
                      const running_request& seen,
                      core::instant now)
{
    const auto found = table.entries.find(id);
    if (found == table.entries.end()) {
        return;
    }
    note_first_token(table, found->second, seen.number, seen.first_token, now);
    note_between_tokens(table, found->second, seen.number, seen.between_tokens, now);
    measure_speed(table, id, now);
    adapt_limit(found->second);
}

void forget_old_samples(endpoint_table& table, core::instant now)
{
    for (auto& [id, endpoint] : table.entries) {
        if (endpoint.speed.slowdown > 1.0 || endpoint.limit < endpoint.declared) {
            measure_speed(table, id, now);
            adapt_limit(endpoint);
        }
    }
}

} // namespace hibiscusfall::scheduling
