#include "hibiscusfall/peers/domain_hubs.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using peers::hub_candidate;

namespace
{

constexpr core::instant start{1h};

std::vector<hub_candidate> make_domain()
{
    return {{.name = "small-1", .cpu_cores = 0.12, .last_heard = start},
            {.name = "large", .cpu_cores = 0.5, .last_heard = start},
            {.name = "small-2", .cpu_cores = 0.12, .last_heard = start}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(domain_hubs_test)

BOOST_AUTO_TEST_CASE(the_largest_instance_is_the_hub)
{
    BOOST_TEST(peers::choose_hub(make_domain()).value() == 1U);
}

BOOST_AUTO_TEST_CASE(an_empty_domain_has_no_hub)
{
    BOOST_TEST(!peers::choose_hub({}).has_value());
}

BOOST_AUTO_TEST_CASE(a_hub_that_is_lost_leaving_or_passes_nothing_on_is_replaced)
{
    for (const auto disqualify : {+[](hub_candidate& hub) { hub.last_heard -= 700ms; },
                                  +[](hub_candidate& hub) { hub.leaving = true; },
                                  +[](hub_candidate& hub) { hub.failed_as_hub = true; }}) {
        auto instances = make_domain();
        disqualify(instances[1]);
        BOOST_TEST(peers::choose_hub(instances).value() != 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_cut_that_makes_a_whole_domain_old_changes_no_hub)
{
    auto instances = make_domain();
    for (auto& each : instances) {
        each.last_heard -= 10s;
    }
    BOOST_TEST(peers::choose_hub(instances).value() == 1U);
}

BOOST_AUTO_TEST_CASE(instances_that_know_the_same_choose_the_same_whatever_the_order)
{
    BOOST_TEST(rc::check("the choice does not depend on the order", [] {
        std::vector<std::string> names;
        const auto count = *rc::gen::inRange(1, 30);
        for (int i = 0; i < count; ++i) {
            names.push_back("entry-" + std::to_string(i));
        }
        std::vector<hub_candidate> instances;
        for (const auto& name : names) {
            instances.push_back({.name = name,
                                 .cpu_cores = *rc::gen::element(0.12, 0.25, 0.5),
                                 .last_heard = start - *rc::gen::inRange(0, 1000) * 1ms,
                                 .leaving = *rc::gen::inRange(0, 5) == 0});
        }
        const auto chosen = peers::choose_hub(instances);
        auto shuffled = instances;
        std::shuffle(shuffled.begin(), shuffled.end(), std::minstd_rand{*rc::gen::inRange(1U, 9999U)});
        const auto chosen_after_shuffle = peers::choose_hub(shuffled);
        RC_ASSERT(chosen.has_value() == chosen_after_shuffle.has_value());
        RC_ASSERT(!chosen || instances[*chosen].name == shuffled[*chosen_after_shuffle].name);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
