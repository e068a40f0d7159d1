#include "hibiscusfall/timing/timer_service.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace hibiscusfall;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(timer_service_test)

BOOST_AUTO_TEST_CASE(calls_in_order_of_due_time)
{
    timing::timer_service timers;
    std::string calls;
    const core::instant start{};
    timers.once(start + 20ms, [&](core::instant) { calls += "b"; });
    timers.once(start + 10ms, [&](core::instant) { calls += "a"; });
    timers.advance(start + 5ms);
    BOOST_TEST(calls.empty());
    timers.advance(start + 30ms);
    BOOST_TEST(calls == "ab");
    BOOST_TEST(!timers.next_due().has_value());
}

BOOST_AUTO_TEST_CASE(a_subscription_may_cancel_itself)
{
    timing::timer_service timers;
    int calls = 0;
    const core::instant start{};
    timing::timer_id self{};
    self = timers.every(10ms, start, [&](core::instant) {
        ++calls;
        timers.cancel(self);
    });
    for (int step = 1; step < 10; ++step) {
        timers.advance(start + step * 10ms);
    }
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(missed_beats_are_not_made_up)
{
    timing::timer_service timers;
    int calls = 0;
    const core::instant start{};
    timers.every(10ms, start, [&](core::instant) { ++calls; });
    timers.advance(start + 1s);
    BOOST_TEST(calls == 1);
}

BOOST_AUTO_TEST_CASE(a_late_call_keeps_its_phase)
{
    timing::timer_service timers;
    const core::instant start{};
    timers.every(25ms, start, [](core::instant) {});
    timers.every(100ms, start, [](core::instant) {});
    timers.advance(start + 163ms);
    BOOST_TEST((timers.next_due() == start + 175ms));
    timers.advance(start + 180ms);
    timers.advance(start + 201ms);
    BOOST_TEST((timers.next_due() == start + 225ms));
}

BOOST_AUTO_TEST_SUITE_END()
