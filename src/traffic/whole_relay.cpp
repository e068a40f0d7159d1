#include "answer_relay.hpp"
#include "endpoint_race.hpp"
#include "refusal.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace hibiscusfall::traffic::detail
{

namespace
{

using core::failure;
using core::verdict;
using clock = std::chrono::steady_clock;

constexpr unsigned first_server_error = 500;

/// Reads the whole body.
verdict read_body(relay_context& context, candidate& source, std::string& body)
{
    while (true) {
        auto& exchange = *source.exchange;
        const auto ended = wait_for_piece(context, exchange);
        if (ended != piece_wait::here) {
            return describe(ended, source.endpoint);
        }
        const auto piece = exchange.next_piece();
        if (!piece) {
            return exchange.last_failure();
        }
        if (!context.totals.first_byte) {
            context.totals.first_byte = clock::now();
        }
        if (!source.first_byte) {
            source.first_byte = clock::now();
        }
        if (piece->empty()) {
            return verdict::ran();
        }
        if (body.size() + piece->size() > context.state.options.answer_bytes) {
            return verdict::may_have_run(failure::garbled_answer,
                                         "the answer of endpoint " + source.endpoint.id.str() +
                                             " is larger than " +
                                             std::to_string(context.state.options.answer_bytes) + " bytes");
        }
        body.append(*piece);
    }
}

/// Reads the token count of a JSON answer, and checks that it is JSON at all.
bool read_usage(const std::string& body, std::uint64_t& tokens)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    if (parsed.is_discarded()) {
        return false;
    }
    if (parsed.is_object() && parsed.contains("usage") && parsed["usage"].is_object()) {
        const auto& usage = parsed["usage"];
        if (const auto found = usage.find("completion_tokens");
            found != usage.end() && found->is_number_unsigned()) {
            tokens = found->get<std::uint64_t>();
        }
    }
    return true;
}

bool claims_json(const http::response_header<>& head)
{
    return to_view(head[http::field::content_type]).starts_with("application/json");
}

/// An answer with a server error does not say whether the request ran.
verdict judge_status(const http::response_header<>& head, const candidate& source)
{
    if (head.result_int() < first_server_error) {
        return verdict::ran();
    }
    return verdict::may_have_run(failure::endpoint_refused,
                                 "endpoint " + source.endpoint.id.str() + " answered " +
                                     std::to_string(head.result_int()));
}

bool write_answer(const relay_context& context,
                  http::status status,
                  std::string_view content_type,
                  const std::string& body,
                  core::run_state state,
                  bool replayed)
{
    http::response<http::string_body> answer{status, 11};
    if (!content_type.empty()) {
        answer.set(http::field::content_type, to_beast(content_type));
    }
    answer.set("Hibiscusfall-Request", context.id);
    answer.set("Hibiscusfall-Verdict", to_beast(core::to_string(state)));
    if (replayed) {
        answer.set("Hibiscusfall-Replayed", "true");
    }
    if (context.retry_after) {
        answer.set(http::field::retry_after, std::to_string(to_seconds(*context.retry_after)));
    }
    answer.keep_alive(context.keep_alive());
    answer.body() = body;
    answer.prepare_payload();
    std::size_t written = 0;
    return !context.caller.write(answer, context.state.options.caller_timeout, written);
}

void settle_slot(relay_context& context, candidate& source, const verdict& outcome)
{
    if (outcome.reason == failure::caller_gone || outcome.reason == failure::shutting_down) {
        cancel_run(context, source);
        return;
    }
    if (auto kept = source.exchange->take_clean_connection()) {
        context.state.pool.put(source.endpoint.address, std::move(kept), clock::now());
    }
    context.totals.cost = outcome.answered() ? context.cost_of(context.totals.tokens) : 0;
    source.slot.release(make_usage(context, source, outcome.answered(), clock::now()));
}

} // namespace

verdict relay_whole(relay_context& context, candidate& source)
{
    std::string body;
    auto outcome = read_body(context, source, body);
    if (!outcome.answered()) {
        settle_slot(context, source, outcome);
        return outcome;
    }
    const http::response_header<> head = source.exchange->head();
    if (claims_json(head) && !read_usage(body, context.totals.tokens) &&
        head.result_int() < first_server_error) {
        outcome = verdict::may_have_run(failure::garbled_answer,
                                        "the answer of endpoint " + source.endpoint.id.str() +
                                            " is not the JSON that it claims to be");
        settle_slot(context, source, outcome);
        return outcome;
    }
    outcome = judge_status(head, source);
    context.retry_after.reset();
    if (const auto stated = source.exchange->retry_after()) {
        context.note_retry_after(source.endpoint.id, *stated);
    }
    settle_slot(context, source, outcome);
    if (!outcome.answered() && context.plan.service->repeatable) {
        return outcome;
    }
    context.totals.bytes = body.size();
    context.kept = {.status = static_cast<std::uint16_t>(head.result_int()),
                    .content_type = std::string{head[http::field::content_type]},
                    .body = body.size() <= context.state.options.kept_answer_bytes ? body : std::string{},
                    .complete = body.size() <= context.state.options.kept_answer_bytes};
    context.settle_claim(outcome);
    context.relayed = true;
    if (!write_answer(
            context, head.result(), to_view(head[http::field::content_type]), body, outcome.state, false)) {
        context.caller.close();
    }
    return outcome;
}

bool send_stored(const relay_context& context, const core::claim_outcome& stored)
{
    const bool whole = stored.status != 0 && stored.body_kept;
    if (whole) {
        const auto status = static_cast<http::status>(stored.status);
        return write_answer(context, status, stored.content_type, stored.body, stored.result.state, true) &&
               context.keep_alive();
    }
    auto outcome = stored.result;
    if (outcome.answered()) {
        outcome.reason = failure::answer_not_kept;
        outcome.detail = "the request with this key ran; its answer was too large to keep";
    }
    return send_refusal(context.caller,
                        outcome,
                        {.request_id = context.id, .keep_alive = context.keep_alive(), .replayed = true});
}

} // namespace hibiscusfall::traffic::detail
