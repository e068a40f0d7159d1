#include "hibiscusfall/dispatch/placement.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};
const core::service_id service{"desk"};

dispatch::fleet_state make_fleet(std::size_t endpoints)
{
    dispatch::fleet_state fleet;
    fleet.own_domain = core::failure_domain_id{"north"};
    catalog::route_table table;
    table.services[service] = {.id = service};
    catalog::endpoint_list list;
    for (std::size_t i = 0; i < endpoints; ++i) {
        const auto name = "e" + std::to_string(i);
        list.entries[name] = {.id = core::endpoint_id{name},
                              .service = service,
                              .address = {.host = "10.0.0.1", .port = 80},
                              .domain = fleet.own_domain,
                              .slots = 4};
    }
    dispatch::update_endpoints(fleet, list, table, 1);
    return fleet;
}

dispatch::placement_decision place_call(const dispatch::fleet_state& fleet, core::instant now)
{
    return dispatch::place(
        fleet,
        {.service = service, .arrived = now, .deadline = now + 5s, .first_token_target = 300ms, .hash = 3},
        dispatch::policy::engine_model,
        now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(requested_backoff_test)

BOOST_AUTO_TEST_CASE(an_endpoint_that_asked_for_a_rest_gets_nothing_until_it_is_over)
{
    auto fleet = make_fleet(1);
    dispatch::record_requested_backoff(fleet.endpoints[0].health, 2s, start);
    BOOST_TEST(!place_call(fleet, start + 1999ms).placed);
    BOOST_TEST(place_call(fleet, start + 2s).placed);
}

BOOST_AUTO_TEST_CASE(callers_are_told_when_the_first_endpoint_takes_requests_again)
{
    auto fleet = make_fleet(2);
    dispatch::record_requested_backoff(fleet.endpoints[0].health, 3s, start);
    dispatch::record_requested_backoff(fleet.endpoints[1].health, 2s, start);
    const auto decision = place_call(fleet, start);
    BOOST_TEST(!decision.placed);
    BOOST_TEST((decision.reason == core::failure::no_endpoint));
    BOOST_TEST((decision.retry_after >= 2s && decision.retry_after <= 3s));
}

BOOST_AUTO_TEST_CASE(a_shorter_rest_does_not_end_a_longer_one_and_no_rest_is_endless)
{
    dispatch::endpoint_health health;
    dispatch::record_requested_backoff(health, 5s, start);
    dispatch::record_requested_backoff(health, 1s, start + 100ms);
    BOOST_TEST(dispatch::is_backing_off(health, start + 4s));
    dispatch::record_requested_backoff(health, -1s, start + 5s);
    BOOST_TEST(!dispatch::is_backing_off(health, start + 5s));
    dispatch::record_requested_backoff(health, 1000h, start);
    BOOST_TEST(!dispatch::is_backing_off(health, start + dispatch::max_requested_backoff));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_leaves_gets_nothing_whatever_a_later_list_says)
{
    auto fleet = make_fleet(1);
    const auto tag = fleet.endpoints[0].tag;
    BOOST_TEST(dispatch::record_departure(fleet.announced_departures, tag, start));
    BOOST_TEST(!dispatch::record_departure(fleet.announced_departures, tag, start + 1s));
    catalog::route_table table;
    table.services[service] = {.id = service};
    catalog::endpoint_list list;
    dispatch::update_endpoints(fleet, list, table, 1);
    list.entries["e0"] = {.id = core::endpoint_id{"e0"}, .service = service, .slots = 4};
    dispatch::update_endpoints(fleet, list, table, 1);
    BOOST_TEST(!place_call(fleet, start + 1s).placed);
    list.entries["e0"].start_time_ms = 77; // started again under its id
    dispatch::update_endpoints(fleet, list, table, 1);
    BOOST_TEST(place_call(fleet, start + 1s).placed);
}

BOOST_AUTO_TEST_CASE(however_answers_and_sends_interleave_nothing_is_sent_within_a_rest)
{
    BOOST_TEST(rc::check("no request is placed at an endpoint within a rest that it asked for", [] {
        auto fleet = make_fleet(3);
        std::map<dispatch::endpoint_tag, core::instant> closed;
        auto now = start;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += *rc::gen::inRange(0, 700) * 1ms;
            auto& state = fleet.endpoints[*rc::gen::inRange<std::size_t>(0, 3)];
            if (*rc::gen::inRange(0, 3) == 0) {
                const auto rest = *rc::gen::inRange(-1000, 4000) * 1ms;
                dispatch::record_requested_backoff(state.health, rest, now);
                closed[state.tag] = std::max(closed[state.tag], now + rest);
            }
            dispatch::record_outcome(
                state.health,
                *rc::gen::element(dispatch::request_outcome::refused, dispatch::request_outcome::succeeded),
                now);
            const auto decision = place_call(fleet, now);
            if (decision.placed) {
                RC_ASSERT(closed[decision.endpoint] <= now);
            }
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
