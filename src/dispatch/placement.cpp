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
    std::uint32_t read_again = 0;
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
bool is_overdue(const candidate& request, const scored& at)
{
    return request.waited > core::duration::zero() && request.waited + at.first_token > request.aim;
}

/// Longest wait for the engine with which a request within its team's share is taken.
core::duration acceptable_wait(const candidate& request, const scored& at, core::instant now)
{
    if (is_overdue(request, at)) {
        return overdue_wait;
    }
    const auto spent = request.waited + core::elapsed(request.arrived, now);
    return std::max(part_of(request.aim, on_time_part) - spent - (at.first_token - at.wait), short_wait);
}

std::uint32_t running(const endpoint_state& state)
{
    return state.model.own_running + state.model.others_running;
}

bool eligible(const fleet_book& book,
              const endpoint_state& state,
              const candidate& request,
              bool any_health,
              core::instant now)
{
    if (state.entry.service != request.service || !accepts_requests(book, state, now)) {
        return false;
    }
    if (std::find(request.excluded.begin(), request.excluded.end(), state.tag) != request.excluded.end()) {
        return false;
    }
    if (state.max_connections > 0 && state.model.own_running >= state.max_connections) {
        return false;
    }
    return any_health || (!rests(state.health, now) && reachable(book, state.entry.domain, now));
}

double tie_break(const endpoint_state& state, std::uint64_t draw)
{
    const auto mixed = (draw ^ state.tag) * 0x9E3779B97F4A7C15ULL;
    return static_cast<double>(mixed >> 44U) / static_cast<double>(1U << 20U);
}

/// What a prompt costs the streams that run at a slowed engine, where reading it pauses them beyond the aim.
double pause_cost(const endpoint_state& state, const candidate& request, double tokens, core::instant now)
{
    const double factor = current_slowness(state.pace, now);
    if (factor <= 1 || request.pause_aim <= core::duration::zero()) {
        return 0;
    }
    const double limit = to_ms(request.pause_aim);
    const double unread = unread_tokens(state.model, now);
    const auto pause = [&](double read) {
        return factor * usual_event_ms(state.pace, read, state.tokens_per_event);
    };
    if (pause(unread + tokens) <= limit) {
        return 0;
    }
    const double part = pause(unread) > limit ? already_paused_part : 1.0;
    return part * ms_per_paused_stream * running(state);
}

scored score_engine(const fleet_book& book,
                    const endpoint_state& state,
                    const candidate& request,
                    std::span<const resolved_part> parts,
                    core::duration stream_time,
                    core::instant now)
{
    const auto& generation = *request.generation;
    const auto held = look_up(parts, state.tag, state.model.sent_total, state.memory_tokens);
    const auto unread = generation.tokens_in - std::min(generation.tokens_in, held.kept);
    const auto place = expected_place(state, stream_time);
    scored result{
        .state = &state,
        .wait = place + slowed(state.pace, expected_wait(state.model, now, book.view_delay), now),
        .first_token =
            place + slowed(state.pace, expected_first_token(state.model, unread, now, book.view_delay), now),
        .read_again = held.read_again};
    const double first_ms = to_ms(result.first_token);
    const double late_ms = std::max(0.0, first_ms - on_time_part * to_ms(request.aim));
    const double fill = state.batch == 0 ? 0.0 : static_cast<double>(running(state)) / state.batch;
    result.score = first_ms + late_weight * late_ms + ms_per_token_read_again * held.read_again +
                   full_batch_ms * fill * fill + pause_cost(state, request, unread, now) +
                   ms_per_recent_failure * recent_failures(state.health, now) +
                   (state.entry.domain == book.own_domain ? 0.0 : other_domain_ms) +
                   tie_break(state, request.draw);
    return result;
}

scored
score_plain(const fleet_book& book, const endpoint_state& state, const candidate& request, core::instant now)
{
    const auto slots = std::max(1U, state.batch);
    const double queue_ms = plain_call_ms * (running(state) + 1) / slots;
    const double score = queue_ms + ms_per_recent_failure * recent_failures(state.health, now) +
                         (state.entry.domain == book.own_domain ? 0.0 : other_domain_ms) +
                         tie_break(state, request.draw);
    const auto wait = running(state) < slots
                          ? core::duration::zero()
                          : core::duration{static_cast<core::duration::rep>(
                                1000.0 * plain_call_ms * (running(state) - slots + 1) / slots)};
    return {.state = &state, .score = score, .wait = wait, .first_token = wait};
}

scored score_least(const endpoint_state& state, const candidate& request)
{
    return {.state = &state, .score = running(state) + tie_break(state, request.draw)};
}

std::vector<const endpoint_state*>
eligible_endpoints(const fleet_book& book, const candidate& request, bool any_health, core::instant now)
{
    std::vector<const endpoint_state*> result;
    result.reserve(book.endpoints.size());
    for (const auto& state : book.endpoints) {
        if (eligible(book, state, request, any_health, now)) {
            result.push_back(&state);
        }
    }
    return result;
}

/// Of the engines of a large fleet, those that one request weighs: some that hold its parts, and some drawn
/// anew for each request. Instances that all weigh all engines by the same old reports choose the same ones.
std::vector<const endpoint_state*> draw_sample(std::span<const endpoint_state* const> engines,
                                               std::span<const resolved_part> parts,
                                               std::uint64_t draw)
{
    std::vector<const endpoint_state*> sample;
    for (std::uint64_t i = 0; i < drawn_engines; ++i) {
        sample.push_back(engines[XXH64(&i, sizeof i, draw) % engines.size()]);
    }
    // The deepest part comes first: whoever holds it holds those before it.
    std::vector<endpoint_tag> holders;
    for (auto depth = parts.size(); depth > 0; --depth) {
        const auto* known = parts[depth - 1].holders;
        const auto count = known == nullptr ? 0 : known->size();
        for (std::size_t i = 0; i < count && holders.size() < weighed_holders; ++i) {
            holders.push_back((*known)[(draw + i) % count].endpoint);
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
    std::uint32_t considered = 0;
};

choice
choose(const fleet_book& book, const candidate& request, policy how, bool any_health, core::instant now)
{
    choice result;
    const auto parts = request.generation == nullptr ? std::vector<resolved_part>{}
                                                     : resolve(book.parts, request.generation->parts);
    const auto stream_time = mean_stream_time(book, request.service);
    auto weighed = eligible_endpoints(book, request, any_health, now);
    if (request.generation != nullptr && how != policy::least_in_flight && weighed.size() > weighed_engines) {
        weighed = draw_sample(weighed, parts, request.draw);
    }
    for (const auto* endpoint : weighed) {
        const auto& state = *endpoint;
        ++result.considered;
        scored each = how == policy::least_in_flight ? score_least(state, request)
                      : state.engine && request.generation != nullptr
                          ? score_engine(book, state, request, parts, stream_time, now)
                          : score_plain(book, state, request, now);
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
first_return(const fleet_book& book, const candidate& request, core::instant now)
{
    std::optional<core::duration> first;
    for (const auto& state : book.endpoints) {
        if (state.entry.service == request.service && state.listed && is_closed(state.health, now) &&
            !leaves(book.leaving, state.tag)) {
            first = std::min(first.value_or(core::duration::max()),
                             core::elapsed(now, state.health.closed_until));
        }
    }
    return first;
}

/// Spreads the return of refused callers over the time after @p earliest, by the request's digest.
core::duration spread(core::duration earliest, core::duration over, std::uint64_t draw)
{
    const double part = static_cast<double>((draw * 0x9E3779B97F4A7C15ULL) >> 40U) / (1U << 24U);
    return earliest + part_of(over, part);
}

void refuse(placement_decision& decision, core::failure reason, core::duration retry_after)
{
    decision.placed = false;
    decision.reason = reason;
    decision.retry_after = retry_after;
}

void refuse_beyond_share(placement_decision& decision, const team_shares& shares, std::uint64_t draw)
{
    // The share is that of a window: it is free again when the window has moved on.
    refuse(decision, core::failure::queue_full, spread(shares.window / 4, shares.window, draw));
}

void admit_generation(placement_decision& decision,
                      const fleet_book& book,
                      const candidate& request,
                      const scored& best,
                      core::instant now)
{
    if (!decision.within_share) {
        if (best.wait > spare_wait || !spare_for(book.shares, request.team)) {
            refuse_beyond_share(decision, book.shares, request.draw);
        }
        return;
    }
    const auto acceptable = acceptable_wait(request, best, now);
    if (best.wait > acceptable) {
        refuse(decision,
               core::failure::queue_full,
               spread(best.wait - acceptable + milliseconds{200}, milliseconds{800}, request.draw));
    }
}

} // namespace

double share_cost(const prompt& generation)
{
    return generation.tokens_in + 2.0 * generation.tokens_out;
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

placement_decision place(const fleet_book& book, const candidate& request, policy how, core::instant now)
{
    const bool admits = how == policy::engine_model;
    if (admits && request.generation != nullptr && !within_share(book.shares, request.team) &&
        !spare_for(book.shares, request.team)) {
        // A team that floods costs nothing but this: no engine is weighed.
        placement_decision refused{.within_share = false};
        refuse_beyond_share(refused, book.shares, request.draw);
        return refused;
    }
    auto found = choose(book, request, how, false, now);
    if (found.best.state == nullptr) {
        // Better an endpoint that failed lately than a sure refusal.
        found = choose(book, request, how, true, now);
    }
    placement_decision decision{.considered = found.considered};
    if (found.best.state == nullptr) {
        refuse(decision,
               core::failure::no_endpoint,
               spread(first_return(book, request, now).value_or(no_endpoint_wait),
                      milliseconds{1000},
                      request.draw));
        return decision;
    }
    const bool generates = found.best.state->engine && request.generation != nullptr;
    auto best = found.best;
    if (admits && generates) {
        // Where not all can be served, those who can still be on time go before those who cannot any more: as
        // many get an answer, and more of them in time.
        decision.overdue = is_overdue(request, best);
        decision.within_share =
            within_share(book.shares, request.team, decision.overdue ? overdue_share_part : 1.0);
        if (decision.within_share && found.in_time.state != nullptr) {
            best = found.in_time;
        }
    }
    decision.placed = true;
    decision.endpoint = best.state->tag;
    decision.expected = best.first_token;
    decision.read_again = best.read_again;
    if (now + best.wait >= request.deadline) {
        refuse(decision, core::failure::deadline, spread(milliseconds{200}, milliseconds{500}, request.draw));
        return decision;
    }
    if (!admits) {
        return decision;
    }
    if (generates) {
        admit_generation(decision, book, request, best, now);
    } else if (running(*best.state) >= std::max(1U, best.state->batch) * (1 + plain_queue_per_slot)) {
        refuse(decision, core::failure::queue_full, spread(best.wait / 2, milliseconds{300}, request.draw));
    }
    return decision;
}

} // namespace hibiscusfall::dispatch
