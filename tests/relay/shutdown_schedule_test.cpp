#include "hibiscusfall/relay/shutdown_schedule.hpp"

#include "hibiscusfall/relay/loop_load.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using relay::pending_request;
using relay::shutdown_schedule;

namespace
{

constexpr core::instant start{1h};

shutdown_schedule any_schedule()
{
    return {.requested = start,
            .timeout = std::chrono::milliseconds{*rc::gen::inRange(100, 60000)},
            .loop_lag = std::chrono::milliseconds{*rc::gen::inRange(0, 5000)}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(shutdown_schedule_test)

RC_BOOST_PROP(final_responses_are_sent_in_the_last_sixth_and_before_the_process_ends, ())
{
    const auto stop = any_schedule();
    const auto kill = stop.requested + stop.timeout;
    RC_ASSERT(relay::responses_until(stop) >= kill - stop.timeout / 6);
    RC_ASSERT(relay::responses_until(stop) <= relay::process_end(stop));
    RC_ASSERT(relay::process_end(stop) < kill);
    RC_ASSERT(relay::streams_until(stop) < relay::responses_until(stop));
}

RC_BOOST_PROP(no_request_begins_that_can_outlast_the_instance_and_not_be_repeated, ())
{
    const auto stop = any_schedule();
    const auto now = start + std::chrono::milliseconds{*rc::gen::inRange(0, 60000)};
    const pending_request request{.is_stream = false,
                                  .repeatable = *rc::gen::arbitrary<bool>(),
                                  .latest_response =
                                      now + std::chrono::milliseconds{*rc::gen::inRange(1, 60000)}};
    const bool outlasts = request.latest_response > relay::responses_until(stop);
    RC_ASSERT(relay::accepts(stop, request, now) == !outlasts);
    if (outlasts && !request.repeatable && now >= relay::streams_until(stop)) {
        RC_ASSERT(!relay::allows_retry(stop, request, now));
    }
    if (!outlasts) {
        RC_ASSERT(relay::allows_retry(stop, request, now));
    }
}

BOOST_AUTO_TEST_CASE(a_loop_that_is_behind_sends_final_responses_before_it_would_be_killed)
{
    const shutdown_schedule calm{.requested = start, .timeout = 8s};
    const shutdown_schedule behind{.requested = start, .timeout = 8s, .loop_lag = 900ms};
    BOOST_TEST((relay::responses_until(calm) >= start + 7700ms));
    BOOST_TEST((relay::responses_until(behind) + behind.loop_lag <= start + 7800ms));
}

BOOST_AUTO_TEST_CASE(streams_that_are_longer_than_the_grace_period_are_refused_late_in_it)
{
    const shutdown_schedule stop{.requested = start, .timeout = 8s};
    const pending_request stream{.is_stream = true, .repeatable = true, .latest_response = start + 60s};
    BOOST_TEST(relay::accepts(stop, stream, start + 2s));
    for (const auto elapsed : {2700ms, 5000ms, 7900ms}) {
        BOOST_TEST(!relay::accepts(stop, stream, start + elapsed));
        BOOST_TEST(!relay::allows_retry(stop, stream, start + elapsed));
    }
}

BOOST_AUTO_TEST_CASE(the_peak_of_the_lag_is_kept_for_some_time_after_a_delay)
{
    relay::loop_load load;
    auto now = start;
    relay::record_lag(load, 900ms, now);
    for (int i = 0; i < 20; ++i) {
        relay::record_lag(load, 1ms, now += 25ms);
    }
    BOOST_TEST(load.peak_lag_ms > 700);
    for (int i = 0; i < 1000; ++i) {
        relay::record_lag(load, 1ms, now += 25ms);
    }
    BOOST_TEST(load.peak_lag_ms < 5);
}

BOOST_AUTO_TEST_SUITE_END()
