#include "hibiscusfall/peers/copy_source.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using peers::choose_copy_source;
using peers::copy_candidate;

BOOST_AUTO_TEST_SUITE(copy_source_test)

BOOST_AUTO_TEST_CASE(only_the_hub_fetches_from_another_domain_at_first)
{
    const std::vector<copy_candidate> candidates{{.name = "reader", .list_position = {.revision = 7}}};
    BOOST_TEST(
        choose_copy_source({.name = "hub", .is_hub = true, .hub_fetch_time = 300ms}, candidates).has_value());
    BOOST_TEST(!choose_copy_source({.name = "a", .time_behind = 100ms, .hub_fetch_time = 300ms}, candidates)
                    .has_value());
    BOOST_TEST(choose_copy_source({.name = "a", .time_behind = 300ms, .hub_fetch_time = 300ms}, candidates)
                   .has_value());
}

BOOST_AUTO_TEST_CASE(a_neighbour_goes_before_a_newer_instance_far_away)
{
    const std::vector<copy_candidate> candidates{
        {.name = "reader", .list_position = {.revision = 8}},
        {.name = "hub", .list_position = {.revision = 7}, .own_domain = true}};
    BOOST_TEST(
        choose_copy_source({.name = "a", .time_behind = 1s, .hub_fetch_time = 300ms}, candidates).value() ==
        1U);
}

BOOST_AUTO_TEST_CASE(a_later_era_with_a_lower_revision_goes_before_an_earlier_one)
{
    const std::vector<copy_candidate> candidates{{.name = "a", .list_position = {.era = 1, .revision = 18}},
                                                 {.name = "b", .list_position = {.era = 2, .revision = 3}}};
    BOOST_TEST(choose_copy_source({.name = "c", .is_hub = true}, candidates).value() == 1U);
}

BOOST_AUTO_TEST_CASE(instances_spread_over_the_sources)
{
    std::vector<std::string> names;
    for (int i = 0; i < 50; ++i) {
        names.push_back("entry-" + std::to_string(i));
    }
    std::vector<copy_candidate> candidates;
    for (int i = 0; i < 10; ++i) {
        candidates.push_back({.name = names[static_cast<std::size_t>(i)],
                              .list_position = {.revision = 7},
                              .own_domain = true});
    }
    std::map<std::size_t, int> requests_by_source;
    for (const auto& name : names) {
        ++requests_by_source[choose_copy_source({.name = name}, candidates).value()];
    }
    const auto most_requested =
        std::max_element(requests_by_source.begin(),
                         requests_by_source.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    BOOST_TEST(most_requested->second <= 15);
    BOOST_TEST(requests_by_source.size() >= 7U);
}

BOOST_AUTO_TEST_SUITE_END()
