#include "hibiscusfall/dispatch/engine_model.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

constexpr double least_tokens_per_ms = 4;    // a tenth of the sheets' speed: a stalled engine
constexpr double most_tokens_per_ms = 70;    // above the sheets' 66.2
constexpr double learning_rate = 0.15;       // weight of one sample
constexpr double least_sample_tokens = 1500; // shorter work is mostly overhead
constexpr double relaxation = 0.12;          // part of the way back to the assumed speed for each second

double speed(const engine_model& model)
{
    return model.tokens_per_ms > 0 ? model.tokens_per_ms : assumed_tokens_per_ms;
}

double milliseconds_between(core::instant from, core::instant to)
{
    return core::seconds_between(from, to) * 1000.0;
}

core::duration to_duration(double milliseconds)
{
    return core::duration{static_cast<core::duration::rep>(milliseconds * 1000.0)};
}

void settle(engine_model& model, core::instant now)
{
    model.unread = unread_tokens(model, now);
    model.unread_at = now;
}

} // namespace

double unread_tokens(const engine_model& model, core::instant now)
{
    const double drained = speed(model) * std::max(0.0, milliseconds_between(model.unread_at, now));
    double unread = std::max(0.0, model.unread - drained);
    if (!model.awaited.empty()) {
        // Prompts are read in order: what was sent after one that has not started is unread.
        const auto behind = model.sent_total - model.awaited.front().total_after;
        unread = std::max(unread, static_cast<double>(behind));
    }
    return unread;
}

core::duration expected_wait(const engine_model& model, core::instant now, core::duration view_delay)
{
    auto wait = to_duration(unread_tokens(model, now) / speed(model));
    if (!model.awaited.empty()) {
        // A first token that is overdue says that the engine is slower than believed, by that much at least.
        const auto& oldest = model.awaited.front();
        const auto overdue = core::elapsed(oldest.sent + oldest.expected + view_delay, now);
        wait = std::max(wait, overdue);
    }
    return wait;
}

core::duration expected_first_token(const engine_model& model,
                                    std::uint32_t tokens,
                                    core::instant now,
                                    core::duration view_delay)
{
    return expected_wait(model, now, view_delay) + to_duration(tokens / speed(model)) + start_overhead;
}

void note_sent(engine_model& model, std::uint64_t ticket, std::uint32_t tokens, core::instant now)
{
    const auto expected = expected_first_token(model, tokens, now);
    settle(model, now);
    model.unread += tokens;
    model.sent_total += tokens;
    ++model.own_running;
    model.awaited.push_back({.ticket = ticket,
                             .total_after = model.sent_total,
                             .sent = now,
                             .expected = expected,
                             .work_tokens = model.unread});
}

void note_sent_elsewhere(engine_model& model, std::uint64_t tokens, core::instant now)
{
    settle(model, now);
    model.unread += static_cast<double>(tokens);
    model.sent_total += tokens;
}

start_error note_first_token(engine_model& model, std::uint64_t ticket, core::instant now)
{
    const auto found = std::find_if(
        model.awaited.begin(), model.awaited.end(), [&](const auto& each) { return each.ticket == ticket; });
    if (found == model.awaited.end()) {
        return {};
    }
    const auto started = *found;
    model.awaited.erase(found);
    settle(model, now);
    const auto behind = static_cast<double>(model.sent_total - started.total_after);
    model.unread = std::min(model.unread, behind);
    const auto seen = core::elapsed(started.sent, now);
    const double reading_ms = static_cast<double>((seen - start_overhead).count()) / 1000.0;
    if (started.work_tokens >= least_sample_tokens) {
        const double sample = std::clamp(
            started.work_tokens / std::max(1.0, reading_ms), least_tokens_per_ms, most_tokens_per_ms);
        model.tokens_per_ms = speed(model) + learning_rate * (sample - speed(model));
    }
    return {.expected = started.expected, .seen = seen};
}

void note_not_started(engine_model& model, std::uint64_t ticket)
{
    std::erase_if(model.awaited, [ticket](const auto& each) { return each.ticket == ticket; });
}

void relax_speed(engine_model& model)
{
    model.tokens_per_ms = speed(model) + relaxation * (assumed_tokens_per_ms - speed(model));
}

} // namespace hibiscusfall::dispatch
