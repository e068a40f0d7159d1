#include "candidate.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace hibiscusfall::traffic::detail
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr auto cancel_connect_limit = std::chrono::milliseconds{200};
constexpr auto cancel_answer_limit = std::chrono::milliseconds{500};

/// Orders an engine to end a request; nothing is done when it cannot be reached.
void order_cancel(relay_state& state, const core::address& to, const std::string& request_id)
{
    http_socket connection;
    if (connection.connect(to, cancel_connect_limit, state.options.connect_from)) {
        return;
    }
    http::request<http::string_body> order{http::verb::post, "/v1/cancel", 11};
    order.set(http::field::host, core::to_string(to));
    order.set(http::field::content_type, "application/json");
    order.keep_alive(false);
    order.body() = nlohmann::json{{"request_id", request_id}}.dump();
    order.prepare_payload();
    std::size_t written = 0;
    if (connection.write(order, cancel_answer_limit, written)) {
        return;
    }
    http::response_parser<http::string_body> answer;
    if (!connection.read(answer, cancel_answer_limit)) {
        ++state.counters.cancels;
    }
}

} // namespace

void held_slot::release(const core::slot_usage& usage)
{
    if (!std::exchange(this->released, true)) {
        this->state.ports.release(this->slot.ticket, usage);
    }
}

void held_slot::hold(const core::slot_granted& granted)
{
    this->release({});
    this->slot = granted;
    this->released = false;
}

std::optional<configuration::endpoint> find_endpoint(const relay_context& context,
                                                     const core::endpoint_id& id)
{
    for (const auto& document : {context.document, context.state.ports.configuration()}) {
        const auto* found = document ? document->find(id) : nullptr;
        if (found != nullptr) {
            return *found;
        }
    }
    return std::nullopt;
}

bool endpoints_left(const relay_context& context)
{
    const auto& endpoints = context.document->endpoints;
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& item) {
        const auto is_in = [&item](const std::vector<core::endpoint_id>& list) {
            return std::find(list.begin(), list.end(), item.first) != list.end();
        };
        return item.second.service == context.plan.service->id && !item.second.draining &&
               !is_in(context.tried) && !is_in(context.resting);
    });
}

exchange_times make_times(const caller_server_options& options)
{
    return {.connect = options.connect_timeout,
            .write = options.endpoint_timeout,
            .connect_from = options.connect_from};
}

endpoint_request make_endpoint_request(const relay_context& context, const core::address& to)
{
    endpoint_request copy{context.request.method(), context.request.target(), 11};
    copy.set(http::field::host, core::to_string(to));
    constexpr std::array forwarded{"Content-Type", "Accept", "Idempotency-Key"};
    for (const auto* name : forwarded) {
        if (const auto found = context.request.find(name); found != context.request.end()) {
            copy.set(name, found->value());
        }
    }
    copy.set("X-Request-Id", context.id);
    copy.keep_alive(true);
    copy.body() = context.request.body();
    copy.prepare_payload();
    return copy;
}

core::verdict send_to(relay_context& context, candidate& target, bool fresh)
{
    const auto& to = target.endpoint.address;
    const bool may_reuse = !fresh && context.plan.service->repeatable;
    auto kept = may_reuse ? context.state.pool.take(to, clock::now()) : nullptr;
    context.state.counters.reused += kept != nullptr ? 1 : 0;
    ++context.state.counters.attempts;
    target.exchange = std::make_unique<endpoint_exchange>(make_times(context.state.options));
    target.sent = clock::now();
    const bool ran_before = std::exchange(context.may_have_run, true);
    auto outcome = target.exchange->send(to, make_endpoint_request(context, to), std::move(kept));
    if (outcome.state == core::run_state::not_run) {
        context.may_have_run = ran_before;
    }
    return outcome;
}

void cancel_run(relay_context& context, candidate& target)
{
    target.exchange->close();
    if (context.plan.service->kind == configuration::service_kind::model) {
        order_cancel(context.state, target.endpoint.address, context.id);
    }
    target.slot.release({});
}

void order_cancel_later(relay_context& context, const core::address& to)
{
    if (context.plan.service->kind == configuration::service_kind::model) {
        boost::asio::post(context.state.cancels,
                          [&state = context.state, id = context.id, to] { order_cancel(state, to, id); });
    }
}

void cancel_run_later(relay_context& context, std::unique_ptr<candidate> target)
{
    target->exchange->close();
    boost::asio::post(context.state.cancels,
                      [&state = context.state,
                       id = context.id,
                       kind = context.plan.service->kind,
                       loser = std::shared_ptr<candidate>(std::move(target))] {
                          if (kind == configuration::service_kind::model) {
                              order_cancel(state, loser->endpoint.address, id);
                          }
                          loser->slot.release({});
                      });
}

} // namespace hibiscusfall::traffic::detail
