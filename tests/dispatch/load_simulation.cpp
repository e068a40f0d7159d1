#include "load_simulation.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace hibiscusfall::testing
{

namespace
{

constexpr core::instant start{std::chrono::hours{1}};

struct simulated_stream {
    core::instant first_token;
    core::instant end;
    dispatch::running_request request;
    core::instant asked;
    core::duration first_token_target;
};

dispatch::fleet_state make_fleet(const load_simulation& play)
{
    dispatch::fleet_state fleet;
    fleet.own_domain = core::failure_domain_id{"north"};
    fleet.shares = {.tokens_per_second = play.quota_per_second, .teams = {}, .bucket_start = start};
    catalog::route_table table;
    const core::service_id service{"draft"};
    table.services[service] = {
        .id = service,
        .engine = catalog::engine_properties{.batch_size = play.places, .kv_capacity_tokens = 600000}};
    catalog::endpoint_list list;
    for (int i = 0; i < play.engines; ++i) {
        const auto name = "engine-" + std::to_string(i);
        list.entries[name] = {.id = core::endpoint_id{name},
                              .service = service,
                              .address = {.host = "10.0.0.1", .port = 80},
                              .domain = fleet.own_domain};
    }
    dispatch::update_endpoints(fleet, list, table, 1);
    return fleet;
}

/// When an engine has a place for a further stream, from the ends of those that it has.
core::instant next_place(std::multiset<core::instant>& ends, std::uint32_t places, core::instant now)
{
    ends.erase(ends.begin(), ends.upper_bound(now));
    if (ends.size() < places) {
        return now;
    }
    return *std::next(ends.begin(), static_cast<std::ptrdiff_t>(ends.size() - places));
}

} // namespace

simulation_result load_simulation::play(const std::vector<simulated_request>& load) const
{
    auto fleet = make_fleet(*this);
    std::map<dispatch::endpoint_tag, core::instant> busy_until;
    std::map<std::uint64_t, std::set<dispatch::endpoint_tag>> readers;
    std::map<dispatch::endpoint_tag, std::multiset<core::instant>> ends;
    std::vector<simulated_stream> awaited;
    simulation_result result;
    std::uint64_t draw = 0;
    const auto settle = [&](core::instant now) {
        std::erase_if(awaited, [&](simulated_stream& each) {
            if (each.first_token <= now && !each.request.first_event_seen) {
                dispatch::record_first_event(fleet, each.request, each.first_token);
                ++(each.first_token - each.asked <= each.first_token_target ? result.on_time : result.late);
            }
            if (each.end > now) {
                return false;
            }
            dispatch::record_end(fleet, each.request, dispatch::request_outcome::succeeded, each.end);
            return true;
        });
    };
    for (const auto& request : load) {
        const auto now = start + request.at;
        settle(now);
        dispatch::advance(fleet.shares, now);
        const auto team = dispatch::tag_of(request.team);
        const double cost = dispatch::share_cost(request.generation);
        dispatch::record_requested(fleet.shares, team, cost);
        const auto decision = dispatch::place(fleet,
                                              {.service = core::service_id{"draft"},
                                               .generation = &request.generation,
                                               .team = team,
                                               .arrived = now,
                                               .deadline = now + std::chrono::seconds{15},
                                               .first_token_target = request.first_token_target,
                                               .hash = ++draw * 0x9E3779B97F4A7C15ULL},
                                              this->policy,
                                              now);
        if (!decision.placed) {
            ++result.refused;
            continue;
        }
        dispatch::record_granted(fleet.shares, team, cost);
        result.given_by_team[request.team.str()] += cost;
        std::uint32_t unread = request.generation.prompt_tokens;
        bool unbroken = true;
        for (std::size_t i = 0; i < request.generation.segments.size(); ++i) {
            const auto& part = request.generation.segments[i];
            auto& known = readers[part.id];
            unbroken = unbroken && known.contains(decision.endpoint);
            if (unbroken) {
                unread -= part.tokens;
            } else if (!known.empty() && i + 1 < request.generation.segments.size()) {
                result.reread_tokens += part.tokens;
            }
            known.insert(decision.endpoint);
        }
        auto& until = busy_until[decision.endpoint];
        const auto place = next_place(ends[decision.endpoint], this->places, now);
        until = std::max(until, place) +
                std::chrono::microseconds{static_cast<std::int64_t>(1000.0 * unread / this->tokens_per_ms)};
        const auto first_token = until + dispatch::first_token_overhead;
        ends[decision.endpoint].insert(first_token + this->stream_time);
        awaited.push_back(
            {.first_token = first_token,
             .end = first_token + this->stream_time,
             .request = dispatch::record_dispatch(fleet, decision.endpoint, request.generation, now),
             .asked = now,
             .first_token_target = request.first_token_target});
    }
    settle(start + std::chrono::hours{1});
    return result;
}

} // namespace hibiscusfall::testing
