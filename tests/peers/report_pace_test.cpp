#include "hibiscusfall/peers/report_pace.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(report_pace_test)

BOOST_AUTO_TEST_CASE(a_hub_is_kept_while_reports_come_every_368_ms)
{
    // With 360 instances, a hub sends its batch twice per report interval; some of the batches may be lost.
    constexpr auto interval = peers::report_interval(360);
    BOOST_TEST((interval == 368ms));
    BOOST_TEST((peers::own_hub_timeout(360) >= interval / 2 * 4));
}

BOOST_AUTO_TEST_CASE(a_lost_hub_is_replaced_within_two_seconds_at_any_size)
{
    BOOST_TEST((peers::own_hub_timeout(6) == 400ms));
    BOOST_TEST((peers::own_hub_timeout(360) <= 2s));
}

BOOST_AUTO_TEST_CASE(what_an_instance_takes_in_whole_reports_does_not_grow_with_the_fleet)
{
    for (const int members : {50, 100, 295, 360}) {
        const double full_reports_per_second =
            members / (core::seconds_between(
                          {}, core::instant{peers::full_report_interval(static_cast<std::size_t>(members))}));
        BOOST_TEST(full_reports_per_second <= 100.1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
