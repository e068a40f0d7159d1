#include "hibiscusfall/dispatch/engine_pace.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using dispatch::engine_pace;

namespace
{

constexpr core::instant start{1h};
constexpr std::uint32_t tokens_per_event = 6;

engine_pace usual_pace()
{
    engine_pace pace;
    for (int i = 0; i < 100; ++i) {
        dispatch::record_event_gap(pace, 21ms, 0, tokens_per_event, start + i * 21ms);
    }
    return pace;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_pace_test)

BOOST_AUTO_TEST_CASE(an_engine_that_was_not_seen_counts_as_usual)
{
    BOOST_TEST(dispatch::current_slowdown({}, start) == 1.0);
    BOOST_TEST((dispatch::slowed_duration({}, 100ms, start) == 100ms));
}

BOOST_AUTO_TEST_CASE(a_slowed_engine_is_known_after_two_events)
{
    auto pace = usual_pace();
    const auto now = start + 3s;
    dispatch::record_event_gap(pace, 53ms, 0, tokens_per_event, now);
    dispatch::record_event_gap(pace, 53ms, 0, tokens_per_event, now + 53ms);
    BOOST_TEST(dispatch::current_slowdown(pace, now + 60ms) > 1.8);
}

BOOST_AUTO_TEST_CASE(a_long_prompt_that_is_read_beside_a_stream_is_no_slowness)
{
    auto pace = usual_pace();
    for (int i = 0; i < 20; ++i) {
        dispatch::record_event_gap(pace, 130ms, 20000, tokens_per_event, start + 3s + i * 130ms);
    }
    BOOST_TEST(dispatch::current_slowdown(pace, start + 3s + 20 * 130ms) == 1.0);
}

BOOST_AUTO_TEST_CASE(a_slowed_engine_that_reads_a_long_prompt_is_known)
{
    auto pace = usual_pace();
    const auto now = start + 3s;
    dispatch::record_event_gap(pace, 325ms, 20000, tokens_per_event, now);
    dispatch::record_event_gap(pace, 325ms, 20000, tokens_per_event, now + 325ms);
    BOOST_TEST(dispatch::current_slowdown(pace, now + 330ms) > 1.8);
}

BOOST_AUTO_TEST_CASE(an_engine_that_is_as_usual_again_is_known_after_some_events_or_a_silence)
{
    auto pace = usual_pace();
    auto now = start + 3s;
    for (int i = 0; i < 4; ++i, now += 53ms) {
        dispatch::record_event_gap(pace, 53ms, 0, tokens_per_event, now);
    }
    auto silent = pace;
    BOOST_TEST(dispatch::current_slowdown(silent, now + 500ms) == 1.0);
    for (int i = 0; i < 3; ++i, now += 21ms) {
        dispatch::record_event_gap(pace, 21ms, 0, tokens_per_event, now);
    }
    BOOST_TEST(dispatch::current_slowdown(pace, now) == 1.0);
}

BOOST_AUTO_TEST_CASE(events_that_come_together_after_a_delay_teach_nothing)
{
    auto pace = usual_pace();
    const double before = pace.usual_gap_ms;
    dispatch::record_event_gap(pace, 1ms, 0, tokens_per_event, start + 3s);
    BOOST_TEST(pace.usual_gap_ms == before);
}

BOOST_AUTO_TEST_CASE(news_of_another_instance_does_not_replace_what_was_seen_just_before)
{
    auto pace = usual_pace();
    const auto last = pace.observed_at;
    dispatch::record_peer_slowdown(pace, 2.5, last + 50ms);
    BOOST_TEST(dispatch::current_slowdown(pace, last + 50ms) == 1.0);
    dispatch::record_peer_slowdown(pace, 2.5, last + 150ms);
    BOOST_TEST(dispatch::current_slowdown(pace, last + 150ms) == 2.5);
}

BOOST_AUTO_TEST_CASE(work_at_a_slowed_engine_takes_longer_but_not_for_ever)
{
    BOOST_TEST(rc::check("between the usual time and the factor, and the rest of the slowness at most", [] {
        engine_pace pace;
        dispatch::record_peer_slowdown(pace, *rc::gen::inRange(10, 60) / 10.0, start);
        const core::duration usual{*rc::gen::inRange<core::duration::rep>(0, 5000000)};
        const auto took = dispatch::slowed_duration(pace, usual, start);
        RC_ASSERT(took >= usual);
        RC_ASSERT(took <= usual + 300ms);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
