#include "hibiscusfall/dispatch/overcommit_control.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;

namespace
{

void play(dispatch::overcommit_control& control, int seconds, int streams, int late)
{
    for (int second = 0; second < seconds; ++second) {
        for (int i = 0; i < streams; ++i) {
            dispatch::record_stream(control, i < late);
        }
        dispatch::adjust_factor(control);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(overcommit_control_test)

BOOST_AUTO_TEST_CASE(more_is_served_while_streams_are_on_time_up_to_a_bound)
{
    dispatch::overcommit_control control;
    play(control, 3, 20, 1);
    BOOST_TEST(control.factor > 1.1);
    play(control, 100, 20, 1);
    BOOST_TEST(control.factor < 2);
}

BOOST_AUTO_TEST_CASE(late_streams_bring_it_back_to_the_stated_supply)
{
    dispatch::overcommit_control control;
    play(control, 20, 20, 0);
    play(control, 6, 20, 10);
    BOOST_TEST(control.factor == 1.0);
    play(control, 20, 20, 20);
    BOOST_TEST(control.factor == 1.0);
}

BOOST_AUTO_TEST_CASE(few_streams_are_counted_on)
{
    dispatch::overcommit_control control;
    play(control, 2, 2, 0);
    BOOST_TEST(control.factor == 1.0);
    play(control, 1, 2, 0);
    BOOST_TEST(control.factor > 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
