#include "hibiscusfall/dispatch/engine_model.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

constexpr double min_prefill_tokens_per_ms = 4;  // a tenth of the specified speed: a stalled engine
constexpr double max_prefill_tokens_per_ms = 70; // above the specified maximum of 66.2
constexpr double learning_rate = 0.15;           // weight of one sample
constexpr double min_sample_tokens = 1500;       // below this, fixed overhead dominates
constexpr double decay_rate = 0.12;              // fraction of the way to the default speed per second

double speed(const engine_model& model)
{
    return model.prefill_tokens_per_ms > 0 ? model.prefill_tokens_per_ms : default_prefill_tokens_per_ms;
}

double milliseconds_between(core::instant from, core::instant to)
{
    return core::seconds_between(from, to) * 1000.0;
}

core::duration to_duration(double milliseconds)
{
    return core::duration{static_cast<core::duration::rep>(milliseconds * 1000.0)};
}

void update_queue(engine_model& model, core::instant now)
{
    model.queued_tokens = queued_prefill_tokens(model, now);
    model.queued_at = now;
}

} // namespace

double queued_prefill_tokens(const engine_model& model, core::instant now)
{
    const double processed = speed(model) * std::max(0.0, milliseconds_between(model.queued_at, now));
    double queued_tokens = std::max(0.0, model.queued_tokens - processed);
    if (!model.pending.empty()) {
        // Prompts are processed in order: everything sent after a pending request is still queued.
        const auto queued_behind = model.sent_tokens - model.pending.front().sent_tokens_after;
        queued_tokens = std::max(queued_tokens, static_cast<double>(queued_behind));
    }
    return queued_tokens;
}

core::duration
expected_queue_time(const engine_model& model, core::instant now, core::duration observation_delay)
{
    auto wait = to_duration(queued_prefill_tokens(model, now) / speed(model));
    if (!model.pending.empty()) {
        // An overdue first token shows that the engine is slower than modelled, at least by that delay.
        const auto& oldest = model.pending.front();
        const auto overdue = core::elapsed(oldest.sent + oldest.expected + observation_delay, now);
        wait = std::max(wait, overdue);
    }
    return wait;
}

core::duration expected_time_to_first_token(const engine_model& model,
                                            std::uint32_t tokens,
                                            core::instant now,
                                            core::duration observation_delay)
{
    return expected_queue_time(model, now, observation_delay) + to_duration(tokens / speed(model)) +
           first_token_overhead;
}

void record_dispatch(engine_model& model, std::uint64_t ticket, std::uint32_t tokens, core::instant now)
{
    const auto expected = expected_time_to_first_token(model, tokens, now);
    update_queue(model, now);
    model.queued_tokens += tokens;
    model.sent_tokens += tokens;
    ++model.own_requests;
    model.pending.push_back({.ticket = ticket,
                             .sent_tokens_after = model.sent_tokens,
                             .sent = now,
                             .expected = expected,
                             .queued_tokens = model.queued_tokens});
}

void record_peer_dispatch(engine_model& model, std::uint64_t tokens, core::instant now)
{
    update_queue(model, now);
    model.queued_tokens += static_cast<double>(tokens);
    model.sent_tokens += tokens;
}

first_token_timing record_first_token(engine_model& model, std::uint64_t ticket, core::instant now)
{
    const auto found = std::find_if(
        model.pending.begin(), model.pending.end(), [&](const auto& each) { return each.ticket == ticket; });
    if (found == model.pending.end()) {
        return {};
    }
    const auto started = *found;
    model.pending.erase(found);
    update_queue(model, now);
    const auto queued_behind = static_cast<double>(model.sent_tokens - started.sent_tokens_after);
    model.queued_tokens = std::min(model.queued_tokens, queued_behind);
    const auto observed = core::elapsed(started.sent, now);
    const double prefill_ms = static_cast<double>((observed - first_token_overhead).count()) / 1000.0;
    if (started.queued_tokens >= min_sample_tokens) {
        const double sample = std::clamp(started.queued_tokens / std::max(1.0, prefill_ms),
                                         min_prefill_tokens_per_ms,
                                         max_prefill_tokens_per_ms);
        model.prefill_tokens_per_ms = speed(model) + learning_rate * (sample - speed(model));
    }
    return {.expected = started.expected, .observed = observed};
}

void remove_pending_request(engine_model& model, std::uint64_t ticket)
{
    std::erase_if(model.pending, [ticket](const auto& each) { return each.ticket == ticket; });
}

void decay_learned_speed(engine_model& model)
{
    model.prefill_tokens_per_ms = speed(model) + decay_rate * (default_prefill_tokens_per_ms - speed(model));
}

} // namespace hibiscusfall::dispatch
