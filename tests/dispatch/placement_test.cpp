#include "load_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using testing::load_simulation;
using testing::simulated_request;

namespace
{

constexpr core::instant start{1h};

/// Long documents, each asked about many times, at about the given part of what the engines can read when
/// each document is read once.
std::vector<simulated_request> documents(double load, int engines, int count)
{
    std::minstd_rand draw{7};
    const double own_tokens = 1500;
    const double per_second = load * engines * 46000 / own_tokens;
    std::exponential_distribution<double> gap{per_second};
    std::vector<simulated_request> result;
    double at = 0;
    for (int i = 0; i < count; ++i) {
        at += gap(draw);
        const auto document = static_cast<std::uint64_t>(draw() % 40);
        result.push_back(
            {.at = core::duration{static_cast<core::duration::rep>(at * 1e6)},
             .team = core::team_id{"team-" + std::to_string(document % 8)},
             .generation = {.segments = {{.id = 1000 + document, .tokens = 4800},
                                         {.id = 100000 + static_cast<std::uint64_t>(i), .tokens = 1500}},
                            .prompt_tokens = 6300,
                            .expected_output_tokens = 300},
             .first_token_target = 800ms});
    }
    return result;
}

dispatch::fleet_state make_fleet(std::initializer_list<std::pair<const char*, const char*>> endpoints,
                                 bool engines)
{
    dispatch::fleet_state fleet;
    fleet.own_domain = core::failure_domain_id{"north"};
    catalog::route_table table;
    const core::service_id service{"desk"};
    table.services[service] = {.id = service};
    if (engines) {
        table.services[service].engine =
            catalog::engine_properties{.batch_size = 4, .kv_capacity_tokens = 100000};
    }
    catalog::endpoint_list list;
    for (const auto& [name, domain] : endpoints) {
        list.entries[name] = {.id = core::endpoint_id{name},
                              .service = service,
                              .address = {.host = "10.0.0.1", .port = 80},
                              .domain = core::failure_domain_id{domain},
                              .slots = 2};
    }
    dispatch::update_endpoints(fleet, list, table, 1);
    return fleet;
}

dispatch::placement_request call(core::instant now)
{
    return {.service = core::service_id{"desk"},
            .arrived = now,
            .deadline = now + 1s,
            .first_token_target = 100ms};
}

dispatch::endpoint_state& state_of(dispatch::fleet_state& fleet, std::string_view id)
{
    return *std::find_if(fleet.endpoints.begin(), fleet.endpoints.end(), [&](const auto& each) {
        return each.entry.id.view() == id;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_test)

BOOST_AUTO_TEST_CASE(kept_parts_are_read_once_and_more_callers_are_on_time_than_by_least_in_flight)
{
    const auto load = documents(0.7, 4, 3000);
    const auto by_model = load_simulation{.policy = dispatch::policy::engine_model}.play(load);
    const auto by_count = load_simulation{.policy = dispatch::policy::least_in_flight}.play(load);
    BOOST_TEST_MESSAGE("on time " << by_model.on_time << " and " << by_count.on_time << ", read again "
                                  << by_model.reread_tokens << " and " << by_count.reread_tokens);
    BOOST_TEST(by_model.on_time > 3000 * 9 / 10);
    BOOST_TEST(by_model.on_time > by_count.on_time);
    BOOST_TEST(by_model.reread_tokens * 4 < by_count.reread_tokens);
}

BOOST_AUTO_TEST_CASE(beyond_capacity_the_placed_requests_are_on_time_and_the_rest_is_refused)
{
    const auto load = documents(1.8, 4, 3000);
    const auto with_admission = load_simulation{}.play(load);
    const auto without = load_simulation{.policy = dispatch::policy::no_admission}.play(load);
    BOOST_TEST_MESSAGE("on time " << with_admission.on_time << " and " << without.on_time);
    BOOST_TEST(with_admission.on_time > 2 * without.on_time);
    BOOST_TEST(with_admission.late * 20 < with_admission.on_time);
}

BOOST_AUTO_TEST_CASE(a_team_that_floods_does_not_take_the_share_of_others)
{
    auto load = documents(0.5, 4, 1500);
    auto flood = documents(2.0, 4, 6000);
    for (auto& each : flood) {
        each.team = core::team_id{"flood"};
    }
    load.insert(load.end(), flood.begin(), flood.end());
    std::stable_sort(load.begin(), load.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    // A quota counts kept parts like those read: the teams ask for 423,000 tokens a second, the flood for 1.7
    // million.
    constexpr double quota = 600000;
    const auto result = load_simulation{.quota_per_second = quota}.play(load);
    double asked_by_one = 0;
    for (const auto& each : load) {
        asked_by_one += each.team.view() == "team-1" ? dispatch::share_cost(each.generation) : 0.0;
    }
    BOOST_TEST(result.given_by_team.at("team-1") > 0.9 * asked_by_one);
}

BOOST_AUTO_TEST_CASE(a_team_far_beyond_its_share_is_refused_without_weighing_engines)
{
    auto fleet = make_fleet({{"a", "north"}, {"b", "north"}}, true);
    fleet.shares.tokens_per_second = 1000;
    fleet.shares.bucket_start = start;
    const core::team_id flood{"flood"};
    const auto team = dispatch::tag_of(flood);
    dispatch::record_requested(fleet.shares, team, 1e6);
    dispatch::record_granted(fleet.shares, team, 1e6);
    dispatch::advance(fleet.shares, start);
    const dispatch::prompt generation{
        .segments = {{.id = 1, .tokens = 500}}, .prompt_tokens = 500, .expected_output_tokens = 50};
    auto request = call(start);
    request.generation = &generation;
    request.team = team;
    const auto decision = dispatch::place(fleet, request, dispatch::policy::engine_model, start);
    BOOST_TEST(!decision.placed);
    BOOST_TEST(!decision.within_share);
    BOOST_TEST(decision.evaluated == 0U);
    BOOST_TEST((decision.retry_after >= fleet.shares.window / 4));
}

BOOST_AUTO_TEST_CASE(a_plain_call_is_not_refused_while_a_slot_is_free)
{
    auto fleet = make_fleet({{"a", "north"}, {"b", "north"}}, false);
    const dispatch::prompt none;
    for (int i = 0; i < 4; ++i) {
        const auto decision = dispatch::place(fleet, call(start), dispatch::policy::engine_model, start);
        BOOST_REQUIRE(decision.placed);
        (void)dispatch::record_dispatch(fleet, decision.endpoint, none, start);
    }
    BOOST_TEST(state_of(fleet, "a").model.own_requests == 2U);
    BOOST_TEST(state_of(fleet, "b").model.own_requests == 2U);
}

BOOST_AUTO_TEST_CASE(a_plain_service_with_a_long_queue_refuses_and_says_when_to_come_back)
{
    auto fleet = make_fleet({{"a", "north"}}, false);
    state_of(fleet, "a").model.peer_requests = 50;
    const auto decision = dispatch::place(fleet, call(start), dispatch::policy::engine_model, start);
    BOOST_TEST(!decision.placed);
    BOOST_TEST((decision.reason == core::failure::queue_full || decision.reason == core::failure::deadline));
    BOOST_TEST((decision.retry_after > core::duration::zero()));
}

BOOST_AUTO_TEST_CASE(a_plain_endpoint_whose_slots_overflow_when_multiplied_does_not_refuse_all_calls)
{
    for (const std::uint32_t slots : {1U << 30U, 1U << 31U, 0x40000001U, 0xffffffffU}) {
        auto fleet = make_fleet({{"a", "north"}}, false);
        state_of(fleet, "a").batch = slots;
        state_of(fleet, "a").model.peer_requests = 5;
        const auto decision = dispatch::place(fleet, call(start), dispatch::policy::engine_model, start);
        BOOST_TEST(decision.placed, slots);
    }
}

// While the store is away, the endpoints of the baseline version may have left without its saying so.
BOOST_AUTO_TEST_CASE(a_deprioritized_version_is_used_once_the_endpoints_of_the_others_are_suspended)
{
    auto fleet = make_fleet({{"a", "north"}, {"b", "north"}}, false);
    state_of(fleet, "b").deprioritized = true;
    const auto place = [&](const dispatch::placement_request& request) {
        return dispatch::place(fleet, request, dispatch::policy::engine_model, start).endpoint;
    };
    auto stream = call(start);
    stream.begins_stream = true;
    auto other = call(start); // a call, or a stream that is taken up
    std::vector<dispatch::endpoint_tag> used_by_others;
    for (std::uint64_t hash = 0; hash < 20; ++hash) {
        stream.hash = hash;
        other.hash = hash;
        BOOST_TEST(place(stream) == state_of(fleet, "a").tag);
        used_by_others.push_back(place(other));
    }
    BOOST_TEST(std::count(used_by_others.begin(), used_by_others.end(), state_of(fleet, "b").tag) > 0);
    state_of(fleet, "a").health.suspended_until = start + 1s;
    BOOST_TEST(place(stream) == state_of(fleet, "b").tag);
    // Nothing else is left.
    state_of(fleet, "b").health.suspended_until = start + 1s;
    const std::array tried{state_of(fleet, "a").tag};
    stream.excluded = tried;
    BOOST_TEST(place(stream) == state_of(fleet, "b").tag);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_rests_is_used_when_no_other_is_left)
{
    auto fleet = make_fleet({{"a", "north"}, {"b", "north"}}, false);
    state_of(fleet, "a").health.suspended_until = start + 1s;
    BOOST_TEST(dispatch::place(fleet, call(start), dispatch::policy::engine_model, start).endpoint ==
               state_of(fleet, "b").tag);
    auto request = call(start);
    const std::array tried{state_of(fleet, "b").tag};
    request.excluded = tried;
    BOOST_TEST(dispatch::place(fleet, request, dispatch::policy::engine_model, start).endpoint ==
               state_of(fleet, "a").tag);
}

BOOST_AUTO_TEST_CASE(a_domain_that_fell_silent_is_avoided)
{
    auto fleet = make_fleet({{"a", "north"}, {"b", "south"}}, false);
    state_of(fleet, "a").model.peer_requests = 2;
    fleet.domain_last_received[core::failure_domain_id{"south"}] = start;
    BOOST_TEST(dispatch::place(fleet, call(start), dispatch::policy::engine_model, start).endpoint ==
               state_of(fleet, "b").tag);
    const auto later = start + 1s;
    BOOST_TEST(dispatch::place(fleet, call(later), dispatch::policy::engine_model, later).endpoint ==
               state_of(fleet, "a").tag);
}

BOOST_AUTO_TEST_CASE(without_endpoints_a_request_is_refused_at_once)
{
    const auto fleet = make_fleet({}, false);
    const auto decision = dispatch::place(fleet, call(start), dispatch::policy::engine_model, start);
    BOOST_TEST(!decision.placed);
    BOOST_TEST((decision.reason == core::failure::no_endpoint));
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_gets_nothing)
{
    auto fleet = make_fleet({{"a", "north"}}, true);
    state_of(fleet, "a").listed = false;
    BOOST_TEST(!dispatch::place(fleet, call(start), dispatch::policy::engine_model, start).placed);
}

BOOST_AUTO_TEST_CASE(a_full_engine_with_a_queue_is_avoided_even_for_the_parts_that_it_holds)
{
    auto fleet = make_fleet({{"a", "north"}, {"b", "north"}}, true);
    const dispatch::prompt generation{.segments = {{.id = 1, .tokens = 4800}, {.id = 2, .tokens = 500}},
                                      .prompt_tokens = 5300,
                                      .expected_output_tokens = 300};
    auto& holder = state_of(fleet, "a");
    dispatch::record_segment(fleet.cached_prefixes, 1, holder.tag, 0, start);
    auto request = call(start);
    request.generation = &generation;
    request.deadline = start + 15s;
    request.first_token_target = 800ms;
    BOOST_TEST(dispatch::place(fleet, request, dispatch::policy::engine_model, start).endpoint == holder.tag);
    holder.model.peer_requests = 10; // six wait in front of it, for streams of some seconds
    BOOST_TEST(dispatch::place(fleet, request, dispatch::policy::engine_model, start).endpoint ==
               state_of(fleet, "b").tag);
}

BOOST_AUTO_TEST_CASE(a_request_whose_holder_is_busy_is_begun_in_time_elsewhere_rather_than_refused)
{
    auto fleet = make_fleet({{"a", "north"}, {"b", "north"}}, true);
    const dispatch::prompt generation{.segments = {{.id = 1, .tokens = 6300}, {.id = 2, .tokens = 500}},
                                      .prompt_tokens = 6800,
                                      .expected_output_tokens = 50};
    auto& holder = state_of(fleet, "a");
    dispatch::record_segment(fleet.cached_prefixes, 1, holder.tag, 0, start);
    dispatch::record_dispatch(holder.model, 1, 30000, start);
    auto request = call(start);
    request.generation = &generation;
    request.deadline = start + 6s;
    request.first_token_target = 400ms;
    const auto decision = dispatch::place(fleet, request, dispatch::policy::engine_model, start);
    BOOST_TEST(decision.placed);
    BOOST_TEST(decision.endpoint == state_of(fleet, "b").tag);
    BOOST_TEST((decision.expected_first_token < request.first_token_target));
}

BOOST_AUTO_TEST_CASE(callers_of_engines_with_few_places_are_refused_rather_than_late)
{
    // Streams of 2 s at 4 engines with 4 places: 8 a second, of 12 that are asked for.
    std::minstd_rand draw{11};
    std::exponential_distribution<double> gap{12};
    std::vector<simulated_request> load;
    double at = 0;
    for (std::uint64_t i = 0; i < 1500; ++i) {
        at += gap(draw);
        load.push_back({.at = core::duration{static_cast<core::duration::rep>(at * 1e6)},
                        .team = core::team_id{"team-" + std::to_string(i % 8)},
                        .generation = {.segments = {{.id = 1000 + i, .tokens = 800}},
                                       .prompt_tokens = 800,
                                       .expected_output_tokens = 300},
                        .first_token_target = 800ms});
    }
    const auto played =
        load_simulation{.places = 4, .stream_time = 2s, .policy = dispatch::policy::engine_model}.play(load);
    BOOST_TEST_MESSAGE("on time " << played.on_time << ", late " << played.late << ", refused "
                                  << played.refused);
    BOOST_TEST(played.late * 20 < played.on_time);
    BOOST_TEST(played.on_time > 1500 * 8 / 12 * 8 / 10);
}

BOOST_AUTO_TEST_SUITE_END()
