#include "hibiscusfall/dispatch/caller_waits.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using dispatch::record_caller;

BOOST_AUTO_TEST_SUITE(caller_waits_test)

BOOST_AUTO_TEST_CASE(a_caller_with_less_time_left_has_waited)
{
    dispatch::caller_waits waits;
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST((record_caller(waits, "chat", 6s) == 0s));
    }
    BOOST_TEST((record_caller(waits, "chat", 5100ms) == 0s));
    const auto waited = record_caller(waits, "chat", 4s);
    BOOST_TEST((waited >= 1s && waited <= 2s));
    BOOST_TEST((record_caller(waits, "chat", 6s) == 0s));
    BOOST_TEST((record_caller(waits, "other", 1s) == 0s));
}

BOOST_AUTO_TEST_CASE(callers_who_all_differ_have_not_waited)
{
    dispatch::caller_waits waits;
    int waited = 0;
    for (int i = 0; i < 400; ++i) {
        waited += record_caller(waits, "chat", 1s + (i * 7919 % 1000) * 10ms) > 0s ? 1 : 0;
    }
    BOOST_TEST(waited < 100);
}

BOOST_AUTO_TEST_CASE(a_shorter_wait_of_all_callers_is_learned)
{
    dispatch::caller_waits waits;
    for (int i = 0; i < 100; ++i) {
        (void)record_caller(waits, "chat", 15s);
    }
    for (int i = 0; i < 1000; ++i) {
        (void)record_caller(waits, "chat", 6s);
    }
    BOOST_TEST((record_caller(waits, "chat", 6s) == 0s));
    BOOST_TEST((record_caller(waits, "chat", 4s) > 1s));
}

BOOST_AUTO_TEST_SUITE_END()
