#include "refusal.hpp"

#include "request_reading.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusfall::traffic::detail
{

using core::failure;
using core::verdict;

http::status to_status(failure reason) noexcept
{
    switch (reason) {
    case failure::unauthorized:
        return http::status::unauthorized;
    case failure::unknown_service:
    case failure::unknown_path:
        return http::status::not_found;
    case failure::bad_method:
        return http::status::method_not_allowed;
    case failure::receive_timeout:
        return http::status::request_timeout;
    case failure::malformed:
        return http::status::bad_request;
    case failure::too_large:
        return http::status::payload_too_large;
    case failure::queue_full:
        return http::status::too_many_requests;
    case failure::key_in_use:
    case failure::answer_not_kept:
        return http::status::conflict;
    case failure::deadline:
        return http::status::gateway_timeout;
    case failure::connection_broken:
    case failure::garbled_answer:
        return http::status::bad_gateway;
    case failure::internal:
        return http::status::internal_server_error;
    default:
        return http::status::service_unavailable;
    }
}

core::duration default_retry_after(failure reason) noexcept
{
    switch (reason) {
    case failure::queue_full:
    case failure::deadline:
    case failure::no_endpoint:
    case failure::shutting_down:
    case failure::not_configured:
    case failure::claim_unsettled:
    case failure::endpoint_refused:
    case failure::connection_failed:
    case failure::retry_budget_spent:
        return std::chrono::seconds{1};
    default:
        return {};
    }
}

std::int64_t to_seconds(core::duration time) noexcept
{
    return std::chrono::ceil<std::chrono::seconds>(time).count();
}

std::string error_body(const verdict& outcome, std::string_view request_id)
{
    const nlohmann::json body{{"error",
                               {{"code", core::to_string(outcome.reason)},
                                {"message", outcome.detail},
                                {"verdict", core::to_string(outcome.state)},
                                {"request_id", request_id}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool send_refusal(http_socket& caller, const verdict& outcome, const refusal_details& details)
{
    http::response<http::string_body> answer{to_status(outcome.reason), 11};
    answer.set(http::field::content_type, "application/json");
    answer.set("Hibiscusfall-Verdict", to_beast(core::to_string(outcome.state)));
    answer.set("Hibiscusfall-Request", to_beast(details.request_id));
    if (details.replayed) {
        answer.set("Hibiscusfall-Replayed", "true");
    }
    auto retry_after = details.retry_after;
    if (retry_after <= core::duration::zero() && outcome.state == core::run_state::not_run) {
        retry_after = default_retry_after(outcome.reason);
    }
    if (retry_after > core::duration::zero()) {
        answer.set(http::field::retry_after, std::to_string(to_seconds(retry_after)));
    }
    if (outcome.reason == failure::unauthorized) {
        answer.set(http::field::www_authenticate, "Bearer");
    }
    answer.keep_alive(details.keep_alive);
    answer.body() = error_body(outcome, details.request_id);
    answer.prepare_payload();
    std::size_t written = 0;
    return !caller.write(answer, details.timeout, written) && details.keep_alive;
}

void send_error_event(http_socket& caller,
                      const verdict& outcome,
                      std::string_view request_id,
                      core::duration timeout)
{
    const auto event = "event: error\ndata: " + error_body(outcome, request_id) + "\n\n";
    const auto chunk = http::make_chunk(asio::buffer(event));
    if (!caller.write_raw(chunk, timeout)) {
        constexpr auto linger = std::chrono::milliseconds{500};
        caller.close_gently(linger);
    }
}

} // namespace hibiscusfall::traffic::detail
