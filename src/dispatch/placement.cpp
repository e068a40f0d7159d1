#include "hibiscusfall/dispatch/placement.hpp"

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

/// Part of the aim within which a first token has to be expected; the rest is for the error of the model.
constexpr double on_time_part = 0.85;
/// Longest wait for the engine that a team beyond its share may cause.
constexpr core::duration spare_wait = milliseconds{15};
/// Longest wait for the engine that a caller whose aim has passed may cause.
constexpr core::duration overdue_wait = milliseconds{15};
/// Part of its team's share up to which such a caller is served like others.
constexpr double overdue_share_part = 0.6;
/// Wait in front of an engine that is always acceptable within a share: a few steps.
constexpr core::duration short_wait = milliseconds{80};
/// Milliseconds of a later first token that reading one shared token again is worth: 1,000 tokens read again
/// cost the users' pages about 0.5 of a request's credit.
constexpr double ms_per_token_read_again = 0.4;
/// Weight of each millisecond beyond the aim.
constexpr double late_weight = 3.0;
constexpr double ms_per_recent_failure = 150.0;
/// Added to the score for each running stream that a prompt would bring a pause beyond the aim, in ms.
constexpr double ms_per_paused_stream = 60.0;
/// Part of it when the streams are paused already by prompts that were sent before.
constexpr double already_paused_part = 0.25;
/// Streams that run slow each other down: added to the score when the batch is full, in ms.
constexpr double full_batch_ms = 60.0;
/// Mean time of a plain call, in ms, by which its queue is weighed.
constexpr double plain_call_ms = 60.0;
/// Calls that a plain endpoint may have waiting for each slot, over the fleet.
constexpr std::uint32_t plain_queue_per_slot = 3;
/// When a service without endpoints is expected to have one: a new endpoint is listed within about a second.
constexpr core::duration no_endpoint_wait = milliseconds{500};
/// Endpoints up to which each request weighs all of them.
constexpr std::size_t weighed_engines = 24;
/// Beyond that it weighs about so many drawn ones, and so many of those that hold its parts.
constexpr std::size_t drawn_engines = 4;
constexpr std::size_t weighed_holders = 12;
constexpr double other_domain_ms = 2.0; // a round trip between failure domains

/// An endpoint with what a request would cost and wait there; the lowest score is best.
struct scored {
    const endpoint_state* state = nullptr;
    double score = std::numeric_limits<double>::max();
    core::duration wait{};
    core::duration first_token{};
    std::uint32_t reread_tokens = 0;
};

double to_ms(core::duration value)
{
    return static_cast<double>(value.count()) / 1000.0;
}

core::duration part_of(core::duration whole, double part)
{
    return core::duration{static_cast<core::duration::rep>(part * static_cast<double>(whole.count()))};
}

/// Whether a caller cannot be on time any more, whatever happens here.
bool is_overdue(const placement_request& request, const scored& at)
{
    return request.waited_before > core::duration::zero() &&
           request.waited_before + at.first_token > request.first_token_target;
}

/// Longest wait for the engine with which a request within its team's share is taken.
core::duration acceptable_wait(const placement_request& request, const scored& at, core::instant now)
{
    if (is_overdue(request, at)) {
        return overdue_wait;
    }
    const auto spent = request.waited_before + core::elapsed(request.arrived, now);
    return std::max(part_of(request.first_token_target, on_time_part) - spent - (at.first_token - at.wait),
                    short_wait);
}

std::uint32_t running(const endpoint_state& state)
{
    return state.model.own_requests + state.model.peer_requests;
}

bool eligible(const fleet_state& fleet,
              const endpoint_state& state,
              const placement_request& request,
              bool any_health,
              core::instant now)
{
    if (state.entry.service != request.service || !accepts_requests(fleet, state, now)) {
        return false;
    }
    if (std::find(request.excluded.begin(), request.excluded.end(), state.tag) != request.excluded.end()) {
        return false;
    }
    if (state.max_connections > 0 && state.model.own_requests >= state.max_connections) {
        return false;
    }
    return any_health || (!is_suspended(state.health, now) && is_reachable(fleet, state.entry.domain, now));
}

double tie_break(const endpoint_state& state, std::uint64_t hash)
{
    const auto mixed = (hash ^ state.tag) * 0x9E3779B97F4A7C15ULL;
    return static_cast<double>(mixed >> 44U) / static_cast<double>(1U << 20U);
}

/// What a prompt costs the streams that run at a slowed engine, where reading it pauses them beyond the aim.
double
pause_cost(const endpoint_state& state, const placement_request& request, double tokens, core::instant now)
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
    const double part = pause(queued_tokens) > limit ? already_paused_part : 1.0;
    return part * ms_per_paused_stream * running(state);
}

scored score_engine(const fleet_state& fleet,
                    const endpoint_state& state,
                    const placement_request& request,
                    std::span<const resolved_segment> segments,
                    core::duration stream_time,
                    core::instant now)
{
    const auto& generation = *request.generation;
    const auto held = match_prefix(segments, state.tag, state.model.sent_tokens, state.memory_tokens);
    const auto uncached_tokens =
        generation.prompt_tokens - std::min(generation.prompt_tokens, held.cached_tokens);
    const auto place = expected_slot_wait(state, stream_time);
    scored result{
        .state = &state,
        .wait = place + slowed_duration(
                            state.pace, expected_queue_time(state.model, now, fleet.observation_delay), now),
        .first_token =
            place + slowed_duration(state.pace,
                                    expected_time_to_first_token(
                                        state.model, uncached_tokens, now, fleet.observation_delay),
                                    now),
        .reread_tokens = held.reread_tokens};
    const double first_ms = to_ms(result.first_token);
    const double late_ms = std::max(0.0, first_ms - on_time_part * to_ms(request.first_token_target));
    const double fill = state.batch == 0 ? 0.0 : static_cast<double>(running(state)) / state.batch;
    result.score = first_ms + late_weight * late_ms + ms_per_token_read_again * held.reread_tokens +
                   full_batch_ms * fill * fill + pause_cost(state, request, uncached_tokens, now) +
                   ms_per_recent_failure * recent_failures(state.health, now) +
                   (state.entry.domain == fleet.own_domain ? 0.0 : other_domain_ms) +
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
                         (state.entry.domain == fleet.own_domain ? 0.0 : other_domain_ms) +
                         tie_break(state, request.hash);
    const auto wait = running(state) < slots
                          ? core::duration::zero()
                          : core::duration{static_cast<core::duration::rep>(
                                1000.0 * plain_call_ms * (running(state) - slots + 1) / slots)};
    return {.state = &state, .score = score, .wait = wait, .first_token = wait};
}

scored score_least(const endpoint_state& state, const placement_request& request)
{
    return {.state = &state, .score = running(state) + tie_break(state, request.hash)};
}

std::vector<const endpoint_state*> eligible_endpoints(const fleet_state& fleet,
                                                      const placement_request& request,
                                                      bool any_health,
                                                      core::instant now)
{
    std::vector<const endpoint_state*> result;
    result.reserve(fleet.endpoints.size());
    for (const auto& state : fleet.endpoints) {
        if (eligible(fleet, state, request, any_health, now)) {
            result.push_back(&state);
        }
    }
    return result;
}

/// Of the engines of a large fleet, those that one request weighs: some that hold its parts, and some drawn
/// anew for each request. Instances that all weigh all engines by the same old reports choose the same ones.
std::vector<const endpoint_state*> draw_sample(std::span<const endpoint_state* const> engines,
                                               std::span<const resolved_segment> segments,
                                               std::uint64_t hash)
{
    std::vector<const endpoint_state*> sample;
    for (std::uint64_t i = 0; i < drawn_engines; ++i) {
        sample.push_back(engines[XXH64(&i, sizeof i, hash) % engines.size()]);
    }
    // The deepest part comes first: whoever holds it holds those before it.
    std::vector<endpoint_tag> holders;
    for (auto depth = segments.size(); depth > 0; --depth) {
        const auto* known = segments[depth - 1].holders;
        const auto count = known == nullptr ? 0 : known->size();
        for (std::size_t i = 0; i < count && holders.size() < weighed_holders; ++i) {
            holders.push_back((*known)[(hash + i) % count].endpoint);
        }
    }
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(sample), [&](const endpoint_state* each) {
        return std::find(holders.begin(), holders.end(), each->tag) != holders.end();
    });
    return sample;
}

/// The best endpoint of all, and the best one at which the request can be begun in time. The two differ when
/// the engines that hold a prompt's parts are busy and others are not.
struct choice {
    scored best;
    scored in_time;
    std::uint32_t evaluated = 0;
};

choice choose(const fleet_state& fleet,
              const placement_request& request,
              policy how,
              bool any_health,
              core::instant now)
{
    choice result;
    const auto segments = request.generation == nullptr
                              ? std::vector<resolved_segment>{}
                              : resolve_segments(fleet.cached_prefixes, request.generation->segments);
    const auto stream_time = mean_stream_time(fleet, request.service);
    auto weighed = eligible_endpoints(fleet, request, any_health, now);
    if (request.generation != nullptr && how != policy::least_in_flight && weighed.size() > weighed_engines) {
        weighed = draw_sample(weighed, segments, request.hash);
    }
    for (const auto* endpoint : weighed) {
        const auto& state = *endpoint;
        ++result.evaluated;
        scored each = how == policy::least_in_flight ? score_least(state, request)
                      : state.is_engine && request.generation != nullptr
                          ? score_engine(fleet, state, request, segments, stream_time, now)
                          : score_plain(fleet, state, request, now);
        if (each.score < result.best.score) {
            result.best = each;
        }
        if (each.score < result.in_time.score && each.wait <= acceptable_wait(request, each, now)) {
            result.in_time = each;
        }
    }
    return result;
}

/// When the first endpoint that asked for a rest takes requests again; nothing when none of them rests.
std::optional<core::duration>
first_return(const fleet_state& fleet, const placement_request& request, core::instant now)
{
    std::optional<core::duration> first;
    for (const auto& state : fleet.endpoints) {
        if (state.entry.service == request.service && state.listed && is_backing_off(state.health, now) &&
            !is_departing(fleet.announced_departures, state.tag)) {
            first = std::min(first.value_or(core::duration::max()),
                             core::elapsed(now, state.health.backoff_until));
        }
    }
    return first;
}

/// Spreads the return of refused callers over the time after @p earliest, by the request's digest.
core::duration spread(core::duration earliest, core::duration over, std::uint64_t hash)
{
    const double part = static_cast<double>((hash * 0x9E3779B97F4A7C15ULL) >> 40U) / (1U << 24U);
    return earliest + part_of(over, part);
}

void refuse(placement_decision& decision, core::failure reason, core::duration retry_after)
{
    decision.placed = false;
    decision.reason = reason;
    decision.retry_after = retry_after;
}

void refuse_beyond_share(placement_decision& decision, const team_shares& shares, std::uint64_t hash)
{
    // The share is that of a window: it is free again when the window has moved on.
    refuse(decision, core::failure::queue_full, spread(shares.window / 4, shares.window, hash));
}

void admit_generation(placement_decision& decision,
                      const fleet_state& fleet,
                      const placement_request& request,
                      const scored& best,
                      core::instant now)
{
    if (!decision.within_share) {
        if (best.wait > spare_wait || !may_exceed_share(fleet.shares, request.team)) {
            refuse_beyond_share(decision, fleet.shares, request.hash);
        }
        return;
    }
    const auto acceptable = acceptable_wait(request, best, now);
    if (best.wait > acceptable) {
        refuse(decision,
               core::failure::queue_full,
               spread(best.wait - acceptable + milliseconds{200}, milliseconds{800}, request.hash));
    }
}

} // namespace

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

placement_decision
place(const fleet_state& fleet, const placement_request& request, policy how, core::instant now)
{
    const bool admits = how == policy::engine_model;
    if (admits && request.generation != nullptr && !within_share(fleet.shares, request.team) &&
        !may_exceed_share(fleet.shares, request.team)) {
        // A team that floods costs nothing but this: no engine is weighed.
        placement_decision refused{.within_share = false};
        refuse_beyond_share(refused, fleet.shares, request.hash);
        return refused;
    }
    auto found = choose(fleet, request, how, false, now);
    if (found.best.state == nullptr) {
        // Better an endpoint that failed lately than a sure refusal.
        found = choose(fleet, request, how, true, now);
    }
    placement_decision decision{.evaluated = found.evaluated};
    if (found.best.state == nullptr) {
        refuse(decision,
               core::failure::no_endpoint,
               spread(first_return(fleet, request, now).value_or(no_endpoint_wait),
                      milliseconds{1000},
                      request.hash));
        return decision;
    }
    const bool generates = found.best.state->is_engine && request.generation != nullptr;
    auto best = found.best;
    if (admits && generates) {
        // Where not all can be served, those who can still be on time go before those who cannot any more: as
        // many get an answer, and more of them in time.
        decision.overdue = is_overdue(request, best);
        decision.within_share =
            within_share(fleet.shares, request.team, decision.overdue ? overdue_share_part : 1.0);
        if (decision.within_share && found.in_time.state != nullptr) {
            best = found.in_time;
        }
    }
    decision.placed = true;
    decision.endpoint = best.state->tag;
    decision.expected_first_token = best.first_token;
    decision.reread_tokens = best.reread_tokens;
    if (now + best.wait >= request.deadline) {
        refuse(decision, core::failure::deadline, spread(milliseconds{200}, milliseconds{500}, request.hash));
        return decision;
    }
    if (!admits) {
        return decision;
    }
    if (generates) {
        admit_generation(decision, fleet, request, best, now);
    } else if (running(*best.state) >= std::max(1U, best.state->batch) * (1 + plain_queue_per_slot)) {
        refuse(decision, core::failure::queue_full, spread(best.wait / 2, milliseconds{300}, request.hash));
    }
    return decision;
}

} // namespace hibiscusfall::dispatch
