#include "hibiscusfall/dispatch/placement.hpp"

#include "hibiscusfall/dispatch/prefix_transfer.hpp"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <optional>
#include <vector>

namespace hibiscusfall::dispatch
{

namespace
{

using std::chrono::milliseconds;

/// Fraction of the first-token target that the prediction may use; the rest covers the model's error.
constexpr double on_time_fraction = 0.85;
/// Longest engine queue at which a request of a team beyond its share is accepted.
constexpr core::duration overcommit_queue_limit = milliseconds{15};
/// Longest engine queue at which a request that can no longer meet its target is accepted.
constexpr core::duration overdue_queue_limit = milliseconds{15};
/// Fraction of its team's share up to which such a request is served like others.
constexpr double overdue_share_fraction = 0.6;
/// Engine queue that is always acceptable within a share: a few steps.
constexpr core::duration min_queue_limit = milliseconds{80};
/// Delay of the first token, in ms, accepted to avoid the prefill of one shared token cached elsewhere: by
/// the specification 1,000 reread tokens cost about 0.5 of a request's credit.
constexpr double ms_per_reread_token = 0.4;
/// Weight of each millisecond beyond the target.
constexpr double lateness_weight = 3.0;
constexpr double ms_per_recent_failure = 150.0;
/// Score in ms for each running stream whose event gap would exceed the target because of the prompt.
constexpr double ms_per_delayed_stream = 60.0;
/// Fraction of it if prompts sent before already delay the streams beyond the target.
constexpr double already_delayed_fraction = 0.25;
/// Score in ms of a full batch: concurrent streams slow each other down.
constexpr double full_batch_ms = 60.0;
/// Mean duration of a plain call in ms, used to score queues.
constexpr double plain_call_ms = 60.0;
/// Queued calls per slot that a plain endpoint may have, fleet-wide.
constexpr std::uint32_t plain_queue_per_slot = 3;
/// Expected time until a service without endpoints has one; a new endpoint is listed within about a second.
constexpr core::duration no_endpoint_retry_after = milliseconds{500};
/// Up to this number of endpoints all are scored for each request.
constexpr std::size_t max_scored_engines = 24;
/// Beyond that, about this many sampled engines are scored, and this many with cached segments of the prompt.
constexpr std::size_t sampled_engines = 4;
constexpr std::size_t sampled_holders = 12;
constexpr double cross_domain_ms = 2.0; // a round trip between failure domains

/// An endpoint with the predicted times of a request; the lowest score is best.
struct scored {
    const endpoint_state* state = nullptr;
    double score = std::numeric_limits<double>::max();
    core::duration wait{};
    core::duration first_token{};
    std::uint32_t reread_tokens = 0;
    std::optional<prefix_source> source{}; ///< From which the beginning of the prompt is copied.
    std::uint32_t transferred_tokens = 0;
};

double to_ms(core::duration value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

core::duration scale(core::duration whole, double fraction)
{
    return core::duration{static_cast<core::duration::rep>(fraction * static_cast<double>(whole.count()))};
}

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

std::uint32_t running(const endpoint_state& state)
{
    return state.model.own_requests + state.model.peer_requests;
}

/// Whether the endpoint's software may run the request.
bool is_suitable(const endpoint_state& state, const placement_request& request)
{
    if (!request.software_version.empty()) {
        return state.software_version == request.software_version;
    }
    return !request.begins_stream || state.begins_streams;
}

/// Whether requests with these homes may run in a failure domain. One whose region is not known is in none.
bool is_home(const fleet_state& fleet,
             const core::failure_domain_id& domain,
             std::span<const std::string> homes)
{
    if (homes.empty()) {
        return true;
    }
    const auto region = fleet.regions.find(domain);
    return region != fleet.regions.end() &&
           std::find(homes.begin(), homes.end(), region->second) != homes.end();
}

/// Endpoints that are considered besides the preferred ones.
enum class fallback : std::uint8_t {
    none,
    second_choice, ///< Those of versions that are a second choice.
    unhealthy      ///< Also those that are suspended or unreachable.
};

/// Why an endpoint of the request's service is not eligible.
exclusion find_exclusion(const fleet_state& fleet,
                         const endpoint_state& state,
                         const placement_request& request,
                         fallback considered,
                         core::instant now)
{
    if (!is_suitable(state, request)) {
        return exclusion::wrong_version;
    }
    if (const auto rejection = find_rejection(fleet, state, now); rejection != exclusion::none) {
        return rejection;
    }
    if (!may_send(fleet, state, now)) {
        return exclusion::cold;
    }
    if (!is_permitted(fleet, state.entry.domain, request)) {
        return exclusion::outside_homes;
    }
    if (std::find(request.excluded.begin(), request.excluded.end(), state.tag) != request.excluded.end()) {
        return exclusion::tried_before;
    }
    if (state.max_connections > 0 && state.model.own_requests >= state.max_connections) {
        return exclusion::connection_limit;
    }
    if (considered == fallback::none && request.begins_stream && state.second_choice) {
        return exclusion::wrong_version;
    }
    const bool ignore_health = considered == fallback::unhealthy;
    if (!ignore_health && is_suspended(state.health, now)) {
        return exclusion::suspended;
    }
    if (!ignore_health && !is_reachable(fleet, state.entry.domain, now)) {
        return exclusion::unreachable;
    }
    return exclusion::none;
}

double tie_break(const endpoint_state& state, std::uint64_t hash)
{
    const auto mixed = (hash ^ state.tag) * 0x9E3779B97F4A7C15ULL;
    return static_cast<double>(mixed >> 44U) / static_cast<double>(1U << 20U);
}

/// Cost of a prompt for the running streams of a slowed engine whose event gaps it would push beyond the
/// target.
double event_gap_cost(const endpoint_state& state,
                      const placement_request& request,
                      double tokens,
                      core::instant now)
{
    const double factor = current_slowdown(state.pace, now);
    if (factor <= 1 || request.event_gap_target <= core::duration::zero()) {
        return 0;
    }
    const double limit = to_ms(request.event_gap_target);
    const double queued_tokens = queued_prefill_tokens(state.model, now);
    const auto pause = [&](double read) {
        return factor * max_usual_gap_ms(state.pace, read, state.tokens_per_event);
    };
    if (pause(queued_tokens + tokens) <= limit) {
        return 0;
    }
    const double fraction = pause(queued_tokens) > limit ? already_delayed_fraction : 1.0;
    return fraction * ms_per_delayed_stream * running(state);
}

/// Cost of copying a token, as a fraction of that of processing it again.
double transfer_cost(const endpoint_state& state)
{
    return state.transfer_ms_per_token * default_prefill_tokens_per_ms;
}

scored score_engine(const fleet_state& fleet,
                    const endpoint_state& state,
                    const placement_request& request,
                    std::span<const resolved_segment> segments,
                    std::span<const prefix_source> sources,
                    core::duration stream_time,
                    core::instant now)
{
    const auto& generation = *request.generation;
    const auto held = match_prefix(segments, state.tag, state.model.sent_tokens, state.memory_tokens);
    const auto source = state.transfer_ms_per_token > 0
                            ? choose_prefix_source(sources, state, held.cached_tokens)
                            : std::nullopt;
    const auto transferred_tokens = source ? source->tokens - held.cached_tokens : 0U;
    const auto transfer = source ? transfer_time(state, transferred_tokens) : core::duration::zero();
    const auto reread_tokens = held.reread_tokens - std::min(held.reread_tokens, transferred_tokens);
    const auto uncached_tokens = generation.prompt_tokens -
                                 std::min(generation.prompt_tokens, held.cached_tokens + transferred_tokens);
    const auto place = expected_slot_wait(state, stream_time);
    scored result{
        .state = &state,
        .wait = place + slowed_duration(
                            state.pace, expected_queue_time(state.model, now, fleet.observation_delay), now),
        .first_token = place + transfer +
                       slowed_duration(state.pace,
                                       expected_time_to_first_token(
                                           state.model, uncached_tokens, now, fleet.observation_delay),
                                       now),
        .reread_tokens = reread_tokens,
        .source = source,
        .transferred_tokens = transferred_tokens};
    const double first_ms = to_ms(result.first_token);
    const double late_ms = std::max(0.0, first_ms - on_time_fraction * to_ms(request.first_token_target));
    const double fill = state.batch == 0 ? 0.0 : static_cast<double>(running(state)) / state.batch;
    result.score = first_ms + lateness_weight * late_ms + ms_per_reread_token * reread_tokens +
                   ms_per_reread_token * transfer_cost(state) * transferred_tokens +
                   full_batch_ms * fill * fill + event_gap_cost(state, request, uncached_tokens, now) +
                   ms_per_recent_failure * recent_failures(state.health, now) +
                   (state.entry.domain == fleet.own_domain ? 0.0 : cross_domain_ms) +
                   tie_break(state, request.hash);
    return result;
}

scored score_plain(const fleet_state& fleet,
                   const endpoint_state& state,
                   const placement_request& request,
                   core::instant now)
{
    const auto slots = std::max(1U, state.batch);
    const double queue_ms = plain_call_ms * (running(state) + 1) / slots;
    const double score = queue_ms + ms_per_recent_failure * recent_failures(state.health, now) +
                         (state.entry.domain == fleet.own_domain ? 0.0 : cross_domain_ms) +
                         tie_break(state, request.hash);
    const auto wait = running(state) < slots
                          ? core::duration::zero()
                          : core::duration{static_cast<core::duration::rep>(
                                1000.0 * plain_call_ms * (running(state) - slots + 1) / slots)};
    return {.state = &state, .score = score, .wait = wait, .first_token = wait};
}

scored score_least_in_flight(const endpoint_state& state, const placement_request& request)
{
    return {.state = &state, .score = running(state) + tie_break(state, request.hash)};
}

std::vector<const endpoint_state*> eligible_endpoints(const fleet_state& fleet,
                                                      const placement_request& request,
                                                      fallback considered,
                                                      core::instant now,
                                                      placement_trace* trace)
{
    std::vector<const endpoint_state*> result;
    result.reserve(fleet.endpoints.size());
    for (const auto& state : fleet.endpoints) {
        if (state.entry.service != request.service) {
            continue;
        }
        const auto reason = find_exclusion(fleet, state, request, considered, now);
        if (reason == exclusion::none) {
            result.push_back(&state);
        }
        if (trace != nullptr) {
            // Endpoints that are scored get their result then.
            trace->endpoints.push_back(
                {.endpoint = state.tag,
                 .reason = reason == exclusion::none ? exclusion::not_sampled : reason});
        }
    }
    return result;
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

bool is_permitted(const fleet_state& fleet,
                  const core::failure_domain_id& domain,
                  const placement_request& request)
{
    return is_home(fleet, domain, request.route_homes) && is_home(fleet, domain, request.team_homes);
}

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
        found = choose(fleet, request, how, fallback::second_choice, now, trace);
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
