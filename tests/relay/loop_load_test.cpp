#include "hibiscusfall/relay/loop_load.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using relay::loop_load;

namespace
{

constexpr core::instant start{1h};

/// Records the same lag repeatedly. Returns the time until the state changes, at most one minute.
core::duration time_until_change(loop_load& load, core::duration lag, core::instant from)
{
    for (auto now = from; now < from + 60s; now += 25ms + lag) {
        if (relay::record_lag(load, lag, now)) {
            return core::elapsed(from, now);
        }
    }
    return 60s;
}

} // namespace

BOOST_AUTO_TEST_SUITE(loop_load_test)

BOOST_AUTO_TEST_CASE(a_loop_that_is_a_little_late_is_not_overloaded)
{
    loop_load load;
    BOOST_TEST((time_until_change(load, 35ms, start) == 60s));
}

BOOST_AUTO_TEST_CASE(a_loop_that_is_late_for_a_second_is_overloaded_before_callers_give_up)
{
    loop_load load;
    BOOST_TEST((time_until_change(load, 250ms, start) <= 1500ms));
    BOOST_TEST(load.overloaded);
}

BOOST_AUTO_TEST_CASE(one_long_pause_of_the_process_is_no_overload)
{
    loop_load load;
    BOOST_TEST(!relay::record_lag(load, 20s, start));
    BOOST_TEST(!load.overloaded);
}

BOOST_AUTO_TEST_CASE(streams_are_refused_while_the_loop_is_behind_and_no_longer)
{
    loop_load load;
    BOOST_TEST(!relay::refuses_streams(load));
    const auto overloaded_at = start + time_until_change(load, 300ms, start);
    BOOST_TEST(relay::refuses_streams(load));
    for (int i = 0; i < 8; ++i) {
        relay::record_lag(load, 0ms, overloaded_at + i * 25ms);
    }
    BOOST_TEST(!relay::refuses_streams(load));
    BOOST_TEST(load.overloaded); // the load balancer keeps sending new connections elsewhere
}

BOOST_AUTO_TEST_CASE(callers_are_moved_once_the_balancer_sends_new_connections_elsewhere)
{
    loop_load load;
    const auto overloaded_at = start + time_until_change(load, 300ms, start);
    BOOST_TEST(!relay::should_close_connections(load, overloaded_at + 1s));
    BOOST_TEST(relay::should_close_connections(load, overloaded_at + 2500ms));
}

BOOST_AUTO_TEST_CASE(a_calm_loop_takes_callers_again_after_a_while)
{
    loop_load load;
    const auto overloaded_at = start + time_until_change(load, 300ms, start);
    const auto recovery_time = time_until_change(load, 0ms, overloaded_at);
    BOOST_TEST((recovery_time >= 3s && recovery_time <= 4s));
    BOOST_TEST(!load.overloaded);
}

BOOST_AUTO_TEST_SUITE_END()
