#include "refusal.hpp"

#include "caller_session.hpp"

#include "hibiscusfall/core/verdict.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace hibiscusfall::relay::detail
{

namespace
{

std::string to_seconds(core::duration value)
{
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%.3f", static_cast<double>(value.count()) / 1e6);
    return digits.data();
}

} // namespace

refusal shutdown_refusal()
{
    return {.status = 503,
            .code = to_string(core::failure::shutting_down),
            .detail = "this instance may end before the request does",
            .retry_after = other_instance_wait};
}

refusal connection_refusal()
{
    return {.status = 503,
            .code = overloaded_code,
            .detail = "this instance has as many connections as it may",
            .retry_after = other_instance_wait};
}

std::string_view reason_phrase(unsigned status) noexcept
{
    return to_view(http::obsolete_reason(static_cast<http::status>(status)));
}

asio::awaitable<void>
send_refusal(relay_server& server, caller_session& caller, std::string_view request_id, const refusal& answer)
{
    const std::string body =
        nlohmann::json{{"error", {{"code", answer.code}, {"reason", answer.detail}}}}.dump();
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    head += reason_phrase(answer.status);
    head += "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!request_id.empty()) {
        head += std::string{server.http_dialect.request_id_header} + ": " + std::string{request_id} + "\r\n";
    }
    if (answer.retry_after > core::duration::zero()) {
        head += "Retry-After: " + to_seconds(answer.retry_after) + "\r\n";
    }
    head += caller.connection_header();
    co_await caller.write(head, caller.expects_no_body() ? std::string_view{} : body);
}

} // namespace hibiscusfall::relay::detail
