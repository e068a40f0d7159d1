#include "hibiscusfall/claims/claim_client.hpp"

#include "hibiscusfall/claims/claim_digest.hpp"

#include <algorithm>

namespace hibiscusfall::claims
{

namespace
{

using core::failure;
using core::verdict;
using protocol::claim_state;
using protocol::claim_word;

constexpr core::duration retry_hint = std::chrono::seconds{1};
constexpr std::size_t longest_content_type = 128;

/// The keeper that was last heard of, or each live instance of the home failure domain in turn.
core::instance_id target_of(claim_client& client, const protocol::claim_shard& shard)
{
    const auto& live = client.live[shard.domain];
    const auto known = client.keepers.find(shard);
    if (known != client.keepers.end()) {
        if (std::find(live.begin(), live.end(), known->second) != live.end()) {
            return known->second;
        }
        client.keepers.erase(known);
    }
    return live.empty() ? core::instance_id{} : live[client.turns++ % live.size()];
}

template <class item>
void schedule_next(const client_options& options, item& waiting, core::instant now)
{
    waiting.next_send = now + waiting.interval;
    waiting.interval = std::min(waiting.interval * 2, options.longest_resend);
}

void send_ask(claim_client& client, open_claim& waiting, core::instant now, effects& out)
{
    schedule_next(client.options, waiting, now);
    if (const auto to = target_of(client, waiting.ask.shard); !to.empty()) {
        out.messages.push_back({.to = to, .body = waiting.ask});
    }
}

void send_settle(claim_client& client, unsettled_claim& waiting, core::instant now, effects& out)
{
    schedule_next(client.options, waiting, now);
    if (const auto to = target_of(client, waiting.settle.shard); !to.empty()) {
        out.messages.push_back({.to = to, .body = waiting.settle});
    }
}

claim_state to_state(core::run_state state)
{
    switch (state) {
    case core::run_state::not_run:
        return claim_state::released;
    case core::run_state::ran:
        return claim_state::ran;
    case core::run_state::may_have_run:
        return claim_state::may_have_run;
    }
    return claim_state::may_have_run;
}

void drop_oldest(claim_client& client, effects& out)
{
    if (client.settling.size() < client.options.most_unsettled) {
        return;
    }
    ++client.counters.dropped;
    out.events.push_back(
        telemetry::log_event{"claim_outcome_dropped"}.with("request", client.settling.begin()->first));
    client.settling.erase(client.settling.begin());
}

void start_settling(claim_client& client,
                    const protocol::claim_settle& settle,
                    core::instant now,
                    effects& out)
{
    drop_oldest(client, out);
    auto& waiting = client.settling[settle.request];
    waiting = {.settle = settle,
               .drop_at = now + client.options.settle_limit,
               .next_send = now,
               .interval = client.options.first_resend};
    send_settle(client, waiting, now, out);
}

/// Gives a request up: should a grant be on its way, the keeper learns that it is not used.
void abandon(claim_client& client, const protocol::claim_ask& ask, core::instant now, effects& out)
{
    start_settling(client,
                   {.shard = ask.shard,
                    .request = ask.request,
                    .key = ask.key,
                    .content = ask.content,
                    .state = claim_state::released},
                   now,
                   out);
}

void answer(claim_client& client, std::uint64_t request, core::claim_decision decision, effects& out)
{
    if (const auto* denied = std::get_if<core::claim_denied>(&decision)) {
        ++(denied->result.state == core::run_state::not_run ? client.counters.not_run
                                                            : client.counters.may_have_run);
    }
    client.open.erase(request);
    out.answers.push_back({.request = request, .decision = std::move(decision)});
}

void deny(
    claim_client& client, std::uint64_t request, verdict result, core::duration retry_after, effects& out)
{
    answer(client, request, core::claim_denied{.result = std::move(result), .retry_after = retry_after}, out);
}

verdict still_running()
{
    return verdict::may_have_run(failure::deadline,
                                 "an earlier request with this idempotency key has not ended");
}

verdict without_outcome()
{
    return verdict::may_have_run(
        failure::claim_unsettled,
        "an earlier request with this idempotency key ended without a known outcome");
}

void give_up(claim_client& client, const open_claim& waiting, core::instant now, effects& out)
{
    const auto ask = waiting.ask;
    if (waiting.pending) {
        deny(client, ask.request, still_running(), {}, out);
    } else {
        const auto reason = "failure domain " + ask.shard.domain.str() +
                            " has authority over the idempotency key and gave no answer in time";
        deny(client, ask.request, verdict::not_run(failure::claim_unsettled, reason), retry_hint, out);
    }
    abandon(client, ask, now, out);
}

core::claim_replayed make_replay(const protocol::claim_reply& message)
{
    return {.outcome = {.result = verdict::ran(),
                        .status = message.status,
                        .content_type = message.content_type,
                        .body = message.body,
                        .body_kept = message.body_kept}};
}

void follow(claim_client& client,
            open_claim& waiting,
            const protocol::claim_reply& message,
            core::instant now,
            effects& out)
{
    const auto known = client.keepers.find(waiting.ask.shard);
    const bool is_news = known == client.keepers.end() || known->second != message.keeper;
    client.keepers[waiting.ask.shard] = message.keeper;
    if (is_news) {
        send_ask(client, waiting, now, out);
    }
}

void take_word(claim_client& client,
               open_claim& waiting,
               const protocol::claim_reply& message,
               core::instant now,
               effects& out)
{
    switch (message.word) {
    case claim_word::granted:
        ++client.counters.granted;
        client.running[message.request] = {.ask = waiting.ask};
        answer(client, message.request, core::claim_granted{.claim = message.request}, out);
        return;
    case claim_word::replayed:
        ++client.counters.replayed;
        answer(client, message.request, make_replay(message), out);
        return;
    case claim_word::pending:
        waiting.pending = true;
        return;
    case claim_word::may_have_run:
        deny(client, message.request, without_outcome(), {}, out);
        return;
    case claim_word::key_in_use:
        deny(client,
             message.request,
             verdict::not_run(failure::key_in_use,
                              "the idempotency key belongs to a request with another content"),
             {},
             out);
        return;
    case claim_word::full:
        deny(client,
             message.request,
             verdict::not_run(failure::claim_unsettled, "the memory for idempotency keys is full"),
             retry_hint,
             out);
        return;
    case claim_word::redirect:
        follow(client, waiting, message, now, out);
        return;
    case claim_word::closed:
    case claim_word::unsettled:
        client.keepers.erase(waiting.ask.shard);
        return;
    }
}

} // namespace

std::uint64_t
open_claim_for(claim_client& client, const core::claim_request& request, core::instant now, effects& out)
{
    const auto number = ++client.last_request;
    const auto key = key_digest(request);
    auto& waiting = client.open[number];
    waiting = {.ask = {.shard = shard_of(request.home, key),
                       .request = number,
                       .key = key,
                       .content = content_digest(request)},
               .give_up = std::min(request.deadline, now + client.options.patience),
               .deadline = request.deadline,
               .next_send = now,
               .interval = client.options.first_resend,
               .pending = false};
    ++client.counters.asked;
    send_ask(client, waiting, now, out);
    return number;
}

void settle_claim(claim_client& client,
                  std::uint64_t request,
                  const core::claim_outcome& outcome,
                  core::instant now,
                  effects& out)
{
    const auto found = client.running.find(request);
    if (found == client.running.end()) {
        return;
    }
    const auto ask = found->second.ask;
    client.running.erase(found);
    const bool keeps_body = outcome.body_kept && outcome.body.size() <= client.options.body_bytes;
    start_settling(client,
                   {.shard = ask.shard,
                    .request = ask.request,
                    .key = ask.key,
                    .content = ask.content,
                    .state = to_state(outcome.result.state),
                    .status = outcome.status,
                    .content_type = outcome.content_type.substr(0, longest_content_type),
                    .body = keeps_body ? outcome.body : std::string{},
                    .body_kept = keeps_body},
                   now,
                   out);
}

void on_reply(claim_client& client,
              const protocol::sender& from,
              const protocol::claim_reply& message,
              core::instant now,
              effects& out)
{
    const auto found = client.open.find(message.request);
    if (found != client.open.end()) {
        auto& waiting = found->second;
        if (message.word != claim_word::redirect && message.word != claim_word::unsettled) {
            client.keepers[waiting.ask.shard] = from.id;
        }
        take_word(client, waiting, message, now, out);
        return;
    }
    const auto settling = client.settling.find(message.request);
    if (settling == client.settling.end()) {
        return;
    }
    const auto& shard = settling->second.settle.shard;
    if (message.word == claim_word::redirect) {
        client.keepers[shard] = message.keeper;
    } else if (message.word == claim_word::unsettled) {
        client.keepers.erase(shard);
    }
}

void on_settled(claim_client& client, const protocol::claim_settled& message)
{
    client.counters.settled += client.settling.erase(message.request);
}

void on_tick(claim_client& client, core::instant now, effects& out)
{
    std::vector<std::uint64_t> expired;
    for (auto& [number, waiting] : client.open) {
        if (now >= (waiting.pending ? waiting.deadline : waiting.give_up)) {
            expired.push_back(number);
        } else if (now >= waiting.next_send) {
            // A keeper that does not answer is forgotten, so that the next ask goes to another instance.
            if (!waiting.pending && waiting.interval >= client.options.longest_resend) {
                client.keepers.erase(waiting.ask.shard);
            }
            send_ask(client, waiting, now, out);
        }
    }
    for (const auto number : expired) {
        give_up(client, client.open.at(number), now, out);
    }
    for (auto& [number, waiting] : client.settling) {
        if (now >= waiting.next_send) {
            if (waiting.interval >= client.options.longest_resend) {
                client.keepers.erase(waiting.settle.shard);
            }
            send_settle(client, waiting, now, out);
        }
    }
    std::erase_if(client.settling, [&](const auto& item) { return now >= item.second.drop_at; });
}

} // namespace hibiscusfall::claims
