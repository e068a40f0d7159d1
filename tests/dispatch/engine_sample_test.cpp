#include "hibiscusfall/dispatch/placement.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};
const core::service_id service{"draft"};

dispatch::fleet_state make_fleet(int engines)
{
    dispatch::fleet_state fleet;
    fleet.own_domain = core::failure_domain_id{"north"};
    catalog::route_table table;
    table.services[service] = {
        .id = service, .engine = catalog::engine_properties{.batch_size = 12, .kv_capacity_tokens = 300000}};
    catalog::endpoint_list list;
    for (int i = 0; i < engines; ++i) {
        const auto name = "engine-" + std::to_string(i);
        list.entries[name] = {.id = core::endpoint_id{name},
                              .service = service,
                              .address = {.host = "10.0.0.1", .port = 80},
                              .domain = fleet.own_domain};
    }
    dispatch::update_endpoints(fleet, list, table, 1);
    return fleet;
}

dispatch::placement_decision
place(const dispatch::fleet_state& fleet, const dispatch::prompt& generation, std::uint64_t draw)
{
    return dispatch::place(fleet,
                           {.service = service,
                            .generation = &generation,
                            .arrived = start,
                            .deadline = start + 6s,
                            .first_token_target = 300ms,
                            .hash = draw * 0x9E3779B97F4A7C15ULL},
                           dispatch::policy::engine_model,
                           start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_sample_test)

BOOST_AUTO_TEST_CASE(instances_with_the_same_old_news_do_not_all_choose_the_same_engines)
{
    // 300 placements of as many instances between two reports: none knows of the others.
    auto fleet = make_fleet(112);
    for (std::size_t i = 0; i < fleet.endpoints.size(); ++i) {
        fleet.endpoints[i].model.peer_requests = static_cast<std::uint32_t>(i % 9);
    }
    const dispatch::prompt generation{
        .segments = {{.id = 1, .tokens = 900}}, .prompt_tokens = 900, .expected_output_tokens = 50};
    std::map<dispatch::endpoint_tag, int> chosen;
    constexpr int placements = 300;
    for (std::uint64_t draw = 1; draw <= placements; ++draw) {
        const auto decision = place(fleet, generation, draw);
        BOOST_REQUIRE(decision.placed);
        ++chosen[decision.endpoint];
    }
    const auto most = std::max_element(
        chosen.begin(), chosen.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    // Sound news would give the less loaded engines twice the mean.
    BOOST_TEST(most->second <= 5 * placements / 112);
    BOOST_TEST(chosen.size() > 50U);
}

BOOST_AUTO_TEST_CASE(an_engine_that_holds_the_prompts_parts_is_always_weighed)
{
    auto fleet = make_fleet(112);
    const dispatch::prompt generation{.segments = {{.id = 7, .tokens = 6300}, {.id = 8, .tokens = 500}},
                                      .prompt_tokens = 6800,
                                      .expected_output_tokens = 50};
    const auto holder = fleet.endpoints[40].tag;
    dispatch::record_segment(fleet.cached_prefixes, 7, holder, 0, start);
    for (std::uint64_t draw = 1; draw <= 50; ++draw) {
        BOOST_TEST(place(fleet, generation, draw).endpoint == holder);
    }
}

BOOST_AUTO_TEST_CASE(a_small_fleet_is_weighed_whole)
{
    const auto fleet = make_fleet(12);
    const dispatch::prompt generation{
        .segments = {{.id = 1, .tokens = 900}}, .prompt_tokens = 900, .expected_output_tokens = 50};
    BOOST_TEST(place(fleet, generation, 3).evaluated == 12U);
}

BOOST_AUTO_TEST_SUITE_END()
