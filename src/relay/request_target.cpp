#include "request_target.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace hibiscusfall::relay::detail
{

namespace
{

using core::failure;
using std::chrono::milliseconds;

/// Time reserved at the end of the route's timeout for sending the final response.
constexpr core::duration response_margin = milliseconds{10};

std::uint64_t digest(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

/// Refusal for an unknown route or team. While the configuration may be outdated, the caller is asked to
/// retry.
refusal unknown(const relay_server& server, unsigned status, std::string_view code, std::string detail)
{
    if (server.configuration_outdated) {
        return {.status = 503,
                .code = "not-configured",
                .detail = detail + ", but the configuration may be outdated",
                .retry_after = configuration_wait};
    }
    return {.status = status, .code = code, .detail = std::move(detail)};
}

} // namespace

request_target find_target(const relay_server& server,
                           const catalog::route_table* table,
                           std::string_view host,
                           std::string_view path,
                           const request_metadata& metadata)
{
    request_target target;
    if (table == nullptr) {
        target.problem = refusal{.status = 503,
                                 .code = "not-configured",
                                 .detail = "this instance knows no configuration yet",
                                 .retry_after = configuration_wait};
        return target;
    }
    if (metadata.id.empty() || !path.starts_with('/')) {
        target.problem = refusal{.status = 400, .code = "malformed", .detail = "no request id, or no path"};
        return target;
    }
    target.route = catalog::find_route(*table, host, path);
    if (target.route == nullptr) {
        target.problem = unknown(server, 404, "unknown-path", "no route has this host and path");
        return target;
    }
    const auto key = catalog::check_key(*table, *target.route, metadata.credential);
    if (!key.accepted) {
        target.problem = unknown(server, 401, "unauthorized", "no team has this key");
        return target;
    }
    target.team = key.owner;
    if (!catalog::has_weight(*target.route)) {
        target.problem = refusal{.status = 503,
                                 .code = to_string(failure::no_endpoint),
                                 .detail = "no service of the route has a weight",
                                 .retry_after = configuration_wait};
        return target;
    }
    target.team_tag = target.team == nullptr ? 0 : dispatch::tag_of(target.team->id);
    // A stream that is taken up goes to the service that the request got with which it began.
    target.draw = digest(is_take_up(*target.route, metadata) && !metadata.resumed_request.empty()
                             ? metadata.resumed_request
                             : metadata.id);
    target.service = catalog::choose_service(*target.route, target.draw);
    return target;
}

bool is_take_up(const catalog::route& route, const request_metadata& metadata)
{
    return route.kind == catalog::route_kind::stream && route.resumable && !metadata.last_event_id.empty();
}

core::instant latest_response_time(const catalog::route& route, core::instant arrived, core::instant deadline)
{
    return route.timeout > core::duration::zero()
               ? std::min(deadline, arrived + route.timeout - response_margin)
               : deadline;
}

pending_request describe_pending(const catalog::route& route, core::instant latest_response)
{
    return {.is_stream = route.kind == catalog::route_kind::stream,
            .repeatable = route.repeatable(),
            .latest_response = latest_response};
}

std::optional<refusal>
refuse_at_instance(const relay_server& server, const pending_request& pending, core::instant arrived)
{
    const auto stop = server.current_shutdown();
    if (stop && !accepts(*stop, pending, arrived)) {
        return shutdown_refusal();
    }
    if (pending.is_stream && refuses_streams(server.load)) {
        return refusal{.status = 503,
                       .code = overloaded_code,
                       .detail = "this instance is " + std::to_string(static_cast<int>(server.load.lag_ms)) +
                                 " ms behind; retry on another instance",
                       .retry_after = other_instance_wait};
    }
    return std::nullopt;
}

void estimate_output(const relay_server& server, const catalog::route& route, dispatch::prompt& generation)
{
    generation.expected_output_tokens =
        generation.hinted_output_tokens > 0
            ? generation.hinted_output_tokens
            : dispatch::expected_output(server.lengths, route.name, generation.max_output_tokens);
}

dispatch::placement_request to_placement_request(const request_target& target,
                                                 const dispatch::prompt* generation,
                                                 core::instant arrived,
                                                 core::instant deadline)
{
    return {.service = target.service,
            .generation = generation,
            .team = target.team_tag,
            .arrived = arrived,
            .deadline = deadline,
            .first_token_target = target.route->latency_target,
            .event_gap_target = target.route->event_gap_target,
            .repeatable = target.route->repeatable(),
            .excluded = {},
            .begins_stream = target.route->resumable,
            .route_homes = target.route->homes,
            .team_homes = target.team == nullptr ? std::span<const std::string>{}
                                                 : std::span<const std::string>{target.team->homes},
            .hash = target.draw};
}

dispatch::policy placement_policy(const relay_server& server, bool admitted)
{
    return admitted && server.options.policy == dispatch::policy::engine_model
               ? dispatch::policy::no_admission
               : server.options.policy;
}

refusal placement_refusal(const dispatch::placement_decision& decision, core::duration time_left)
{
    const auto longest = std::max(time_left / retry_after_divisor, core::duration{milliseconds{1}});
    const auto after =
        decision.retry_after > core::duration::zero() ? decision.retry_after : configuration_wait;
    const bool over_share = !decision.within_share && decision.reason == failure::queue_full;
    return {.status = over_share ? 429U : 503U,
            .code = to_string(decision.reason),
            .detail = decision.reason == failure::no_endpoint ? std::string{no_endpoint_detail}
                      : decision.within_share ? "the endpoints have more work than they can begin in time"
                                              : "the team is beyond its share and the endpoints are busy",
            .retry_after = std::min(after, longest)};
}

} // namespace hibiscusfall::relay::detail
