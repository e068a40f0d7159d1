#include "endpoint_checks.hpp"

#include "endpoint_answer.hpp"
#include "endpoint_connection.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <utility>

namespace hibiscusfall::relay::detail
{

namespace
{

/// For the connection, and again for the response: several round trips within a site.
constexpr core::duration check_limit = std::chrono::milliseconds{300};
/// Time for which a failed check holds if nothing arrives from the endpoint.
constexpr core::duration failure_validity = std::chrono::seconds{1};
constexpr std::uint64_t max_status_bytes = 1U << 20U;

std::string format_request(std::string_view path, const core::address& address)
{
    std::string text{"GET "};
    text += path;
    text += " HTTP/1.1\r\nHost: " + core::to_string(address) + "\r\nConnection: close\r\n\r\n";
    return text;
}

} // namespace

void endpoint_checks::start(const dispatch::endpoint_state& endpoint)
{
    const auto now = event_loop::now();
    if (!dispatch::may_send(this->server.fleet, endpoint, now)) {
        return; // a check is a request too
    }
    std::erase_if(this->checks, [now](const auto& each) {
        return !each.second.pending && each.second.failed_at + failure_validity < now;
    });
    auto& entry = this->checks[endpoint.tag];
    if (std::exchange(entry.pending, true)) {
        return;
    }
    entry.started_at = now;
    ++this->server.counters.endpoint_checks;
    asio::co_spawn(this->server.loop.context(),
                   this->run(endpoint.tag, endpoint.entry.address),
                   this->server.loop.log_failure("endpoint_check"));
}

dispatch::endpoint_check endpoint_checks::result(const dispatch::endpoint_state& endpoint,
                                                 core::instant now) const
{
    const auto found = this->checks.find(endpoint.tag);
    if (found == this->checks.end()) {
        return dispatch::endpoint_check::none;
    }
    if (found->second.pending) {
        return dispatch::endpoint_check::pending;
    }
    const auto failed_at = found->second.failed_at;
    const bool holds =
        endpoint.last_received < found->second.started_at && now < failed_at + failure_validity;
    return holds ? dispatch::endpoint_check::failed : dispatch::endpoint_check::none;
}

asio::awaitable<void> endpoint_checks::run(dispatch::endpoint_tag tag, core::address address)
{
    bool answers = true;
    try {
        answers = co_await this->is_answering(tag, address);
    } catch (const std::exception& problem) {
        telemetry::write_error(telemetry::log_event{"endpoint_check_failed"}.with("reason", problem.what()));
    }
    const auto now = event_loop::now();
    auto* endpoint = dispatch::find_endpoint(this->server.fleet, tag);
    const auto started_at = this->checks[tag].started_at;
    if (endpoint == nullptr || answers || endpoint->last_received >= started_at) {
        this->checks.erase(tag);
        if (endpoint != nullptr && answers) {
            dispatch::record_response(this->server.fleet, *endpoint, now);
        }
        co_return;
    }
    this->checks[tag] = {.started_at = started_at, .failed_at = now};
    ++this->server.counters.unresponsive_endpoints;
    dispatch::record_unreachable(this->server.fleet, *endpoint, now);
    telemetry::write(telemetry::log_event{"endpoint_unresponsive"}
                         .with("endpoint", endpoint->entry.id.view())
                         .with("silent_ms", core::elapsed(endpoint->last_received, now).count() / 1000));
}

asio::awaitable<bool> endpoint_checks::is_answering(dispatch::endpoint_tag tag, core::address address)
{
    const auto limit = check_limit + observation_delay(this->server.load);
    auto connection = this->server.connections->make(tag);
    const auto error = co_await connect(connection, address, limit);
    if (error) {
        co_return !is_unreachable(error);
    }
    const auto* endpoint = dispatch::find_endpoint(this->server.fleet, tag);
    if (endpoint == nullptr || !dispatch::try_take_send(this->server.fleet, *endpoint, event_loop::now())) {
        co_return true; // it accepted a connection
    }
    connection->expires = event_loop::now() + limit;
    start_sending(connection, format_request(this->server.http_dialect.status_path, address), nullptr);
    buffered_parser parser;
    parser.body_limit(max_status_bytes);
    const auto end = co_await read_body(connection, parser);
    // An endpoint that rejects the request or ends the connection runs. On a late instance an answer may have
    // arrived unread.
    const bool answers = end != read_result::timed_out || parser.got_some() || has_unread_bytes(*connection);
    connection->close();
    co_return answers;
}

} // namespace hibiscusfall::relay::detail
