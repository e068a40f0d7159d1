#include "hibiscusfall/dispatch/placement.hpp"

#include "endpoint_eligibility.hpp"
#include "endpoint_scoring.hpp"

#include "hibiscusfall/dispatch/prefix_transfer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <optional>
#include <vector>

namespace hibiscusfall::dispatch
{

using detail::eligible_endpoints;
using detail::fallback;
using detail::is_suitable;
using detail::on_time_fraction;
using detail::running;
using detail::scale;
using detail::score_engine;
using detail::score_least_in_flight;
using detail::score_plain;
using detail::scored;

namespace
{

using std::chrono::milliseconds;

/// Longest engine queue at which a request of a team beyond its share is accepted.
constexpr core::duration overcommit_queue_limit = milliseconds{15};
/// Longest engine queue at which a request that can no longer meet its target is accepted.
constexpr core::duration overdue_queue_limit = milliseconds{15};
/// Fraction of its team's share up to which such a request is served like others.
constexpr double overdue_share_fraction = 0.6;
/// Engine queue that is always acceptable within a share: a few steps.
constexpr core::duration min_queue_limit = milliseconds{80};
/// Queued calls per slot that a plain endpoint may have, fleet-wide.
constexpr std::uint32_t plain_queue_per_slot = 3;
/// Expected time until a service without endpoints has one; a new endpoint is listed within about a second.
constexpr core::duration no_endpoint_retry_after = milliseconds{500};
/// Up to this number of endpoints all are scored for each request.
constexpr std::size_t max_scored_engines = 24;
/// Beyond that, about this many sampled engines are scored, and this many with cached segments of the prompt.
constexpr std::size_t sampled_engines = 4;
constexpr std::size_t sampled_holders = 12;

/// Whether a retried request can no longer meet its first-token target.
bool is_overdue(const placement_request& request, const scored& at)
{
    return request.waited_before > core::duration::zero() &&
           request.waited_before + at.first_token > request.first_token_target;
}

/// Longest engine queue time at which a request within its team's share is accepted.
core::duration max_queue_time(const placement_request& request, const scored& at, core::instant now)
{
    if (is_overdue(request, at)) {
        return overdue_queue_limit;
    }
    const auto spent = request.waited_before + core::elapsed(request.arrived, now);
    return std::max(scale(request.first_token_target, on_time_fraction) - spent - (at.first_token - at.wait),
                    min_queue_limit);
}

/// Selects the engines of a large fleet to score for one request: some that have its segments cached, and a
/// random sample per request. Without sampling, all instances would choose the same engines by the same
/// outdated reports.
std::vector<const endpoint_state*> draw_sample(std::span<const endpoint_state* const> engines,
                                               std::span<const resolved_segment> segments,
                                               std::uint64_t hash)
{
    std::vector<const endpoint_state*> sample;
    for (std::uint64_t i = 0; i < sampled_engines; ++i) {
        sample.push_back(engines[XXH64(&i, sizeof i, hash) % engines.size()]);
    }
    // Start at the deepest segment: its holders have the preceding ones cached too.
    std::vector<endpoint_tag> holders;
    for (auto depth = segments.size(); depth > 0; --depth) {
        const auto* known = segments[depth - 1].holders;
        const auto count = known == nullptr ? 0 : known->size();
        for (std::size_t i = 0; i < count && holders.size() < sampled_holders; ++i) {
            holders.push_back((*known)[(hash + i) % count].endpoint);
        }
    }
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(sample), [&](const endpoint_state* each) {
        return std::find(holders.begin(), holders.end(), each->tag) != holders.end();
    });
    return sample;
}

/// Records the result of an endpoint that was scored.
void record(placement_trace& trace, const scored& result)
{
    const auto found =
        std::find_if(trace.endpoints.begin(), trace.endpoints.end(), [&](const considered_endpoint& each) {
            return each.endpoint == result.state->tag;
        });
    *found = {.endpoint = result.state->tag,
              .score = result.score,
              .wait = result.wait,
              .first_token = result.first_token,
              .reread_tokens = result.reread_tokens,
              .prefix_source = result.source ? std::optional{result.source->endpoint} : std::nullopt,
              .transferred_tokens = result.transferred_tokens};
}

/// The best endpoint overall and the best one at which the request can start in time. They differ if the
/// engines with the prompt's segments are busy and others are not.
struct choice {
    scored best;
    scored in_time;
    std::uint32_t evaluated = 0;
};

choice choose(const fleet_state& fleet,
              const placement_request& request,
              policy how,
              fallback considered,
              core::instant now,
              placement_trace* trace)
{
    choice result;
    if (trace != nullptr) {
        *trace = {.endpoints = {}, .ignored_health = considered == fallback::unhealthy};
    }
    const auto segments = request.generation == nullptr
                              ? std::vector<resolved_segment>{}
                              : resolve_segments(fleet.cached_prefixes, request.generation->segments);
    const auto stream_time = mean_stream_time(fleet, request.service);
    auto scored_endpoints = eligible_endpoints(fleet, request, considered, now, trace);
    if (request.generation != nullptr && how != policy::least_in_flight &&
        scored_endpoints.size() > max_scored_engines) {
        scored_endpoints = draw_sample(scored_endpoints, segments, request.hash);
    }
    const bool may_transfer =
        std::any_of(scored_endpoints.begin(), scored_endpoints.end(), [](const endpoint_state* each) {
            return each->transfer_ms_per_token > 0;
        });
    const auto sources =
        may_transfer ? find_prefix_sources(fleet, request, segments, now) : std::vector<prefix_source>{};
    for (const auto* endpoint : scored_endpoints) {
        const auto& state = *endpoint;
        ++result.evaluated;
        scored each = how == policy::least_in_flight ? score_least_in_flight(state, request)
                      : state.is_engine && request.generation != nullptr
                          ? score_engine(fleet, state, request, segments, sources, stream_time, now)
                          : score_plain(fleet, state, request, now);
        if (trace != nullptr) {
            record(*trace, each);
        }
        if (each.score < result.best.score) {
            result.best = each;
        }
        if (each.score < result.in_time.score && each.wait <= max_queue_time(request, each, now)) {
            result.in_time = each;
        }
    }
    return result;
}

/// Time until the first backing-off endpoint accepts requests again; nothing if none is backing off.
std::optional<core::duration>
time_until_available(const fleet_state& fleet, const placement_request& request, core::instant now)
{
    std::optional<core::duration> first;
    for (const auto& state : fleet.endpoints) {
        if (state.entry.service == request.service && is_suitable(state, request) && state.listed &&
            is_backing_off(state.health, now) && !is_departing(fleet.announced_departures, state.tag)) {
            first = std::min(first.value_or(core::duration::max()),
                             core::elapsed(now, state.health.backoff_until));
        }
    }
    return first;
}

/// Spreads retries of refused callers over the period @p over after @p earliest, by the request's digest.
core::duration spread(core::duration earliest, core::duration over, std::uint64_t hash)
{
    const double fraction = static_cast<double>((hash * 0x9E3779B97F4A7C15ULL) >> 40U) / (1U << 24U);
    return earliest + scale(over, fraction);
}

void refuse(placement_decision& decision, core::failure reason, core::duration retry_after)
{
    decision.placed = false;
    decision.reason = reason;
    decision.retry_after = retry_after;
}

void refuse_beyond_share(placement_decision& decision, const team_shares& shares, std::uint64_t hash)
{
    // Shares apply per window: tokens become available again as the window advances.
    refuse(decision, core::failure::queue_full, spread(shares.window / 4, shares.window, hash));
}

/// Calls that a plain endpoint may run and queue; in 64 bits, as the product can exceed 32.
std::uint64_t max_plain_calls(const endpoint_state& state)
{
    return std::uint64_t{std::max(1U, state.batch)} * (1 + plain_queue_per_slot);
}

void admit_generation(placement_decision& decision,
                      const fleet_state& fleet,
                      const placement_request& request,
                      const scored& best,
                      core::instant now)
{
    if (!decision.within_share) {
        if (best.wait > overcommit_queue_limit || !may_exceed_share(fleet.shares, request.team)) {
            refuse_beyond_share(decision, fleet.shares, request.hash);
        }
        return;
    }
    const auto acceptable = max_queue_time(request, best, now);
    if (best.wait > acceptable) {
        refuse(decision,
               core::failure::queue_full,
               spread(best.wait - acceptable + milliseconds{200}, milliseconds{800}, request.hash));
    }
}

} // namespace

bool has_version(const fleet_state& fleet, const core::service_id& service, std::string_view software_version)
{
    return std::any_of(fleet.endpoints.begin(), fleet.endpoints.end(), [&](const endpoint_state& state) {
        return state.entry.service == service && state.software_version == software_version && state.listed &&
               !is_departing(fleet.announced_departures, state.tag);
    });
}

double share_cost(const prompt& generation)
{
    return generation.prompt_tokens + 2.0 * generation.expected_output_tokens;
}

std::string_view to_string(policy how) noexcept
{
    switch (how) {
    case policy::least_in_flight:
        return "least_in_flight";
    case policy::no_admission:
        return "no_admission";
    case policy::engine_model:
        break;
    }
    return "engine_model";
}

placement_decision place(const fleet_state& fleet,
                         const placement_request& request,
                         policy how,
                         core::instant now,
                         placement_trace* trace)
{
    const bool enforces_admission = how == policy::engine_model;
    if (enforces_admission && request.generation != nullptr && !within_share(fleet.shares, request.team) &&
        !may_exceed_share(fleet.shares, request.team)) {
        // Cheap rejection of a flooding team: no engine is scored.
        placement_decision refused{.within_share = false};
        refuse_beyond_share(refused, fleet.shares, request.hash);
        return refused;
    }
    auto found = choose(fleet, request, how, fallback::none, now, trace);
    if (found.best.state == nullptr && request.begins_stream) {
        found = choose(fleet, request, how, fallback::deprioritized, now, trace);
    }
    if (found.best.state == nullptr) {
        // An endpoint that failed recently is better than a certain refusal.
        found = choose(fleet, request, how, fallback::unhealthy, now, trace);
    }
    placement_decision decision{.evaluated = found.evaluated};
    if (found.best.state == nullptr) {
        refuse(decision,
               core::failure::no_endpoint,
               spread(time_until_available(fleet, request, now).value_or(no_endpoint_retry_after),
                      milliseconds{1000},
                      request.hash));
        return decision;
    }
    const bool is_generation = found.best.state->is_engine && request.generation != nullptr;
    auto best = found.best;
    if (enforces_admission && is_generation) {
        // Under overload, requests that can still be on time take precedence over overdue ones: the number of
        // answers stays the same, and more of them are on time.
        decision.overdue = is_overdue(request, best);
        decision.within_share =
            within_share(fleet.shares, request.team, decision.overdue ? overdue_share_fraction : 1.0);
        if (decision.within_share && found.in_time.state != nullptr) {
            best = found.in_time;
        }
    }
    decision.placed = true;
    decision.endpoint = best.state->tag;
    decision.expected_first_token = best.first_token;
    if (best.source) {
        decision.prefix_source = best.source->endpoint;
        decision.prefix_tokens = best.source->tokens;
        decision.transferred_tokens = best.transferred_tokens;
    }
    decision.reread_tokens = best.reread_tokens;
    if (now + best.wait >= request.deadline) {
        refuse(decision, core::failure::deadline, spread(milliseconds{200}, milliseconds{500}, request.hash));
        return decision;
    }
    if (!enforces_admission) {
        return decision;
    }
    if (is_generation) {
        admit_generation(decision, fleet, request, best, now);
    } else if (running(*best.state) >= max_plain_calls(*best.state)) {
        refuse(decision, core::failure::queue_full, spread(best.wait / 2, milliseconds{300}, request.hash));
    }
    return decision;
}

} // namespace hibiscusfall::dispatch
