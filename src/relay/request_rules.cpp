#include "request_rules.hpp"

#include "crash_watch.hpp"
#include "request_target.hpp"

#include "hibiscusfall/dispatch/prefix_transfer.hpp"

#include <algorithm>
#include <string>

namespace hibiscusfall::relay::detail
{

core::instant latest_response_time(const request_state& state)
{
    return latest_response_time(*state.route, state.arrived, state.deadline);
}

core::instant latest_attempt_end(const request_state& state)
{
    const bool begun = state.first_event > core::duration::zero();
    return begun ? state.deadline : state.timeout_at;
}

pending_request pending(const request_state& state)
{
    return describe_pending(*state.route, latest_response_time(state));
}

bool shutdown_forbids_retry(const request_state& state, core::instant now)
{
    const auto stop = state.server.current_shutdown();
    return stop &&
           (state.caller.is_ended() || (!state.head_sent && !allows_retry(*stop, pending(state), now)));
}

bool allows_another(const request_state& state, core::instant now)
{
    return now + min_attempt_time < latest_attempt_end(state) &&
           state.attempts <= state.route->max_attempts + 1 && scanner_for_next_attempt(state).has_value();
}

bool may_crash_another(request_state& state, const attempt_result& end)
{
    if (state.withdrawn || state.broken_starts > 1 || find_crash_cause(state) != nullptr) {
        return true;
    }
    return end.outcome.reason == core::failure::connection_broken &&
           dispatch::has_findings(state.server.fleet.crashes) &&
           dispatch::is_suspect(state.server.fleet.crashes, traits_of(state));
}

bool is_crash_suspect(request_state& state)
{
    const auto& crashes = state.server.fleet.crashes;
    return state.withdrawn || state.is_trial || state.broken_starts > 0 ||
           find_crash_cause(state) != nullptr ||
           (dispatch::has_findings(crashes) && dispatch::is_suspect(crashes, traits_of(state)));
}

bool take_repeat(request_state& state, core::instant now)
{
    auto& server = state.server;
    const bool taken = dispatch::try_take_repeat(
        server.budgets[state.service], server.options.retries, server.instance_count, now);
    ++(taken ? server.counters.retries : server.counters.retries_denied);
    return taken;
}

dispatch::placement_decision
place(const request_state& state, std::span<const dispatch::endpoint_tag> excluded, core::instant now)
{
    const auto& generation = state.metadata.generation;
    auto request = to_placement_request({.route = state.route,
                                         .team = state.team,
                                         .team_tag = state.team_tag,
                                         .service = state.service,
                                         .draw = state.draw},
                                        generation ? &*generation : nullptr,
                                        state.arrived,
                                        latest_attempt_end(state));
    request.waited_before = is_take_up(state) ? core::duration::zero() : state.waited;
    request.excluded = excluded;
    request.software_version = state.software_version;
    // A retry, and a stream that is known to have begun, have passed admission already and only need an
    // endpoint.
    const bool admitted = state.attempts > 0 || state.is_known_stream;
    return dispatch::place(state.server.fleet, request, placement_policy(state.server, admitted), now);
}

recorded_send
record_send(request_state& state, const dispatch::placement_decision& decision, core::instant now)
{
    static const dispatch::prompt no_prompt;
    auto& server = state.server;
    const auto& generation = state.metadata.generation;
    ++state.attempts;
    if (generation) {
        if (state.attempts == 1) {
            const double cost = dispatch::share_cost(*generation);
            dispatch::record_granted(server.fleet.shares, state.team_tag, cost);
            server.activity.teams[state.team_tag].second += cost;
        }
        for (const auto& part : generation->segments) {
            server.activity.parts.emplace_back(part.id, decision.endpoint);
        }
    }
    state.tried.push_back(decision.endpoint);
    recorded_send sent;
    const auto* source =
        decision.prefix_source ? dispatch::find_endpoint(server.fleet, *decision.prefix_source) : nullptr;
    // The decision of a successor may be some time old.
    std::uint32_t copied_prefix_tokens = 0;
    if (source != nullptr && dispatch::is_usable_source(server.fleet, *source, now)) {
        copied_prefix_tokens = decision.prefix_tokens;
        sent.prefix_source = source->tag;
        ++server.counters.prefix_transfers;
        server.counters.transferred_tokens += decision.transferred_tokens;
    }
    sent.running = dispatch::record_dispatch(
        server.fleet, decision.endpoint, generation ? *generation : no_prompt, now, copied_prefix_tokens);
    record_sending(state, sent.running.ticket);
    return sent;
}

std::string_view endpoint_id(const relay_server& server, dispatch::endpoint_tag tag)
{
    const auto found = server.fleet.endpoint_index.find(tag);
    return found == server.fleet.endpoint_index.end() ? std::string_view{"-"}
                                                      : server.fleet.endpoints[found->second].entry.id.view();
}

} // namespace hibiscusfall::relay::detail
