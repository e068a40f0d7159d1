#include "endpoint_race.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace hibiscusfall::traffic::detail
{

namespace
{

using core::failure;
using core::verdict;
using clock = std::chrono::steady_clock;

constexpr core::duration longest_wait = std::chrono::milliseconds{200}; ///< Between looks at the shutdown.
constexpr core::duration hedge_slot_wait = std::chrono::milliseconds{20};
constexpr std::uint64_t long_hint_tokens = 1024;

/// The exchanges of one attempt: the first endpoint's, and a hedge's.
class race
{
public:
    explicit race(relay_context& given) : context(given) {}

    race_result run(std::unique_ptr<candidate> first);

private:
    bool add(std::unique_ptr<candidate> next);
    std::optional<verdict> give_up(core::instant now);
    void wait(core::instant now);
    std::unique_ptr<candidate> advance_all();
    bool resend_after_stale_connection(candidate& target, verdict& outcome);
    void drop(std::size_t index, const verdict& outcome);
    void hedge(core::instant now);
    [[nodiscard]] core::instant hedge_time() const;
    void cancel_all();

    relay_context& context;
    std::vector<std::unique_ptr<candidate>> running;
    verdict last;
    bool caller_left = false;
    bool hedge_tried = false;
    std::optional<core::duration> hedge_delay;
};

bool is_readable(endpoint_exchange& exchange)
{
    const std::array source{exchange.descriptor()};
    return wait_for_bytes(source, -1, {}) == wait_result::readable;
}

race_result race::run(std::unique_ptr<candidate> first)
{
    const auto& plan = this->context.plan;
    this->hedge_tried = !plan.service->repeatable || this->context.relayed;
    this->hedge_delay = this->context.state.hedge_after(plan.service->id, plan.streamed);
    this->add(std::move(first));
    while (!this->running.empty()) {
        const auto now = clock::now();
        if (auto ended = this->give_up(now)) {
            this->cancel_all();
            return *std::move(ended);
        }
        if (!this->hedge_tried && now >= this->hedge_time()) {
            this->hedge(now);
        }
        this->wait(clock::now());
        if (auto winner = this->advance_all()) {
            return winner;
        }
    }
    return this->last;
}

/// Sends the request to one more endpoint.
bool race::add(std::unique_ptr<candidate> next)
{
    this->context.tried.push_back(next->endpoint.id);
    this->context.totals.endpoint = next->endpoint.id;
    auto outcome = send_to(this->context, *next, false);
    if (!outcome.answered() && next->exchange->used_kept_connection() &&
        outcome.state == core::run_state::not_run) {
        outcome = send_to(this->context, *next, true);
    }
    this->running.push_back(std::move(next));
    if (!outcome.answered()) {
        this->drop(this->running.size() - 1, outcome);
        return false;
    }
    return true;
}

std::optional<verdict> race::give_up(core::instant now)
{
    const auto& endpoint = this->running.front()->endpoint;
    if (this->caller_left) {
        return verdict::may_have_run(failure::caller_gone, "the caller closed its connection");
    }
    if (now >= this->context.deadline) {
        return verdict::may_have_run(failure::deadline,
                                     "endpoint " + endpoint.id.str() + " gave no answer before the deadline");
    }
    if (this->context.state.phase == closing_phase::cutting) {
        return verdict::may_have_run(failure::shutting_down, "the instance's shutdown limit is reached");
    }
    return std::nullopt;
}

core::instant race::hedge_time() const
{
    return this->hedge_delay ? this->running.front()->sent + *this->hedge_delay : core::instant::max();
}

void race::wait(core::instant now)
{
    std::vector<int> sources;
    for (const auto& item : this->running) {
        sources.push_back(item->exchange->descriptor());
    }
    auto until = std::min(this->context.deadline, now + longest_wait);
    if (!this->hedge_tried) {
        until = std::min(until, this->hedge_time());
    }
    const auto left = std::max(core::elapsed(now, until), core::duration::zero());
    this->caller_left =
        wait_for_bytes(sources, this->context.watched_caller(), left) == wait_result::caller_gone;
}

/// Reads from every exchange that has something.
std::unique_ptr<candidate> race::advance_all()
{
    for (std::size_t index = 0; index < this->running.size();) {
        auto& item = *this->running[index];
        if (!is_readable(*item.exchange)) {
            ++index;
            continue;
        }
        const auto progress = item.exchange->advance();
        if (progress == answer_progress::begun) {
            auto winner = std::move(this->running[index]);
            this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(index));
            this->context.totals.hedge_won = index > 0;
            this->context.state.counters.hedges_won += index > 0 ? 1 : 0;
            this->cancel_all();
            return winner;
        }
        auto outcome = item.exchange->last_failure();
        if (progress == answer_progress::waiting || this->resend_after_stale_connection(item, outcome)) {
            ++index;
            continue;
        }
        this->drop(index, outcome);
    }
    return nullptr;
}

/// A kept connection that the endpoint closed without an answer says nothing about the endpoint.
/// @param outcome Failure on the kept connection; combined with that of the new one if it fails too.
bool race::resend_after_stale_connection(candidate& target, verdict& outcome)
{
    const auto& exchange = *target.exchange;
    if (!exchange.used_kept_connection() || exchange.received_any() ||
        !this->context.plan.service->repeatable) {
        return false;
    }
    const auto sent = send_to(this->context, target, true);
    if (!sent.answered()) {
        outcome = combine(outcome, sent);
    }
    return sent.answered();
}

void race::drop(std::size_t index, const verdict& outcome)
{
    this->last = this->last.reason == failure::none ? outcome : combine(this->last, outcome);
    if (const auto stated = this->running[index]->exchange->retry_after()) {
        this->context.note_retry_after(this->running[index]->endpoint.id, *stated);
    }
    this->running[index]->slot.release({.answered = false, .cost = 0, .endpoint_failed = true});
    this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(index));
}

void race::hedge(core::instant now)
{
    this->hedge_tried = true;
    auto& state = this->context.state;
    if (!endpoints_left(this->context)) {
        return;
    }
    if (!state.spend_hedge()) {
        ++state.counters.hedges_refused;
        return;
    }
    auto request = make_slot_request(this->context);
    request.arrived = now;
    request.deadline = std::min(this->context.deadline, now + hedge_slot_wait);
    auto& first = *this->running.front()->exchange;
    const auto answer = state.ports.acquire(request, [&first] { return is_readable(first); });
    const auto* slot = std::get_if<core::slot_granted>(&answer);
    if (slot == nullptr) {
        return;
    }
    const auto endpoint = find_endpoint(this->context, slot->endpoint);
    if (!endpoint || slot->endpoint == this->running.front()->endpoint.id) {
        state.ports.release(slot->ticket, {});
        return;
    }
    log_route(this->context, *slot, "hedge");
    ++state.counters.hedges;
    this->context.totals.hedged = true;
    this->add(std::make_unique<candidate>(state, *endpoint, *slot));
}

void race::cancel_all()
{
    const auto& plan = this->context.plan;
    for (auto& item : this->running) {
        this->context.state.note_first_byte(
            plan.service->id, plan.streamed, core::elapsed(item->sent, clock::now()));
        cancel_run_later(this->context, std::move(item));
    }
    this->running.clear();
}

} // namespace

race_result race_for_answer(relay_context& context, std::unique_ptr<candidate> first)
{
    auto result = race(context).run(std::move(first));
    if (const auto* winner = std::get_if<std::unique_ptr<candidate>>(&result)) {
        const auto now = clock::now();
        context.totals.endpoint = (*winner)->endpoint.id;
        context.state.note_first_byte(
            context.plan.service->id, context.plan.streamed, core::elapsed((*winner)->sent, now));
    }
    return result;
}

core::slot_request make_slot_request(const relay_context& context)
{
    auto excluded = context.tried;
    excluded.insert(excluded.end(), context.resting.begin(), context.resting.end());
    return {.service = context.plan.service->id,
            .team = context.team->id,
            .cost = context.cost_of(context.plan.hint_tokens),
            .is_long = context.plan.hint_tokens >= long_hint_tokens,
            .arrived = context.arrived,
            .deadline = context.deadline,
            .prefix = context.plan.prefix,
            .excluded = std::move(excluded)};
}

void log_route(const relay_context& context, const core::slot_granted& slot, std::string_view reason)
{
    if (!telemetry::logs_decisions()) {
        return;
    }
    telemetry::write_decision(telemetry::log_event{"route"}
                                  .with("request", context.id)
                                  .with("team", context.team->id.view())
                                  .with("service", context.plan.service->id.view())
                                  .with("endpoint", slot.endpoint.view())
                                  .with("reason", reason)
                                  .with("excluded", context.tried.size())
                                  .with("alternatives", slot.alternatives)
                                  .with("wait_us", slot.wait.count())
                                  .with("queue_length", slot.queue_length));
}

piece_wait wait_for_piece(const relay_context& context, endpoint_exchange& exchange)
{
    const auto until = clock::now() + context.state.options.endpoint_timeout;
    const std::array source{exchange.descriptor()};
    while (!exchange.piece_is_here()) {
        const auto now = clock::now();
        if (context.state.phase == closing_phase::cutting) {
            return piece_wait::cutting;
        }
        if (now >= until) {
            return piece_wait::silent;
        }
        const auto left = std::min(core::elapsed(now, until), longest_wait);
        if (wait_for_bytes(source, context.watched_caller(), left) == wait_result::caller_gone) {
            return piece_wait::caller_gone;
        }
    }
    return piece_wait::here;
}

verdict describe(piece_wait ended, const configuration::endpoint& endpoint)
{
    switch (ended) {
    case piece_wait::caller_gone:
        return verdict::may_have_run(failure::caller_gone, "the caller closed its connection");
    case piece_wait::cutting:
        return verdict::may_have_run(failure::shutting_down, "the instance's shutdown limit is reached");
    default:
        return verdict::may_have_run(failure::connection_broken,
                                     "endpoint " + endpoint.id.str() + " fell silent within its answer");
    }
}

} // namespace hibiscusfall::traffic::detail
