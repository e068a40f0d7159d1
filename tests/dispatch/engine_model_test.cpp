#include "hibiscusfall/dispatch/engine_model.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using dispatch::engine_model;

namespace
{

constexpr core::instant start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(engine_model_test)

BOOST_AUTO_TEST_CASE(unread_tokens_drain_at_the_assumed_speed)
{
    engine_model model;
    dispatch::record_peer_dispatch(model, 4600, start);
    BOOST_TEST(dispatch::queued_prefill_tokens(model, start) == 4600.0);
    BOOST_TEST(dispatch::queued_prefill_tokens(model, start + 50ms) == 2300.0);
    BOOST_TEST(dispatch::queued_prefill_tokens(model, start + 1s) == 0.0);
}

BOOST_AUTO_TEST_CASE(a_request_waits_for_what_was_sent_before_it)
{
    engine_model model;
    dispatch::record_peer_dispatch(model, 9200, start);
    const auto expected = dispatch::expected_time_to_first_token(model, 4600, start);
    BOOST_TEST((expected >= 300ms && expected <= 300ms + dispatch::first_token_overhead));
}

BOOST_AUTO_TEST_CASE(what_was_sent_after_a_request_that_has_not_started_is_unread)
{
    engine_model model;
    dispatch::record_dispatch(model, 1, 1000, start);
    dispatch::record_peer_dispatch(model, 5000, start);
    BOOST_TEST(dispatch::queued_prefill_tokens(model, start + 10s) == 5000.0);
    dispatch::remove_pending_request(model, 1);
    BOOST_TEST(dispatch::queued_prefill_tokens(model, start + 10s) == 0.0);
}

BOOST_AUTO_TEST_CASE(a_first_token_says_that_all_before_it_was_read)
{
    engine_model model;
    dispatch::record_peer_dispatch(model, 50000, start);
    dispatch::record_dispatch(model, 1, 1000, start);
    dispatch::record_peer_dispatch(model, 300, start);
    dispatch::record_first_token(model, 1, start + 100ms);
    BOOST_TEST(dispatch::queued_prefill_tokens(model, start + 100ms) == 300.0);
}

BOOST_AUTO_TEST_CASE(an_engine_that_hangs_looks_busy_for_as_long_as_it_is_overdue)
{
    engine_model model;
    dispatch::record_dispatch(model, 1, 460, start);
    BOOST_TEST((dispatch::expected_queue_time(model, start + 2s) >= 1900ms));
}

BOOST_AUTO_TEST_CASE(a_delay_of_this_instance_is_none_of_the_engine)
{
    engine_model model;
    dispatch::record_dispatch(model, 1, 460, start);
    const auto overdue = dispatch::expected_queue_time(model, start + 500ms);
    BOOST_TEST((dispatch::expected_queue_time(model, start + 500ms, 300ms) <= overdue - 300ms));
}

BOOST_AUTO_TEST_CASE(a_slow_engine_is_learned_and_forgiven)
{
    engine_model model;
    auto now = start;
    for (std::uint64_t ticket = 1; ticket <= 20; ++ticket) {
        dispatch::record_dispatch(model, ticket, 4600, now);
        now += 500ms; // a fifth of the assumed speed
        dispatch::record_first_token(model, ticket, now);
    }
    BOOST_TEST(model.prefill_tokens_per_ms < 20);
    for (int second = 0; second < 20; ++second) {
        dispatch::decay_learned_speed(model);
    }
    BOOST_TEST(model.prefill_tokens_per_ms > 40);
}

BOOST_AUTO_TEST_CASE(no_order_of_events_makes_the_expectation_negative_or_endless)
{
    BOOST_TEST(rc::check("expectations stay between zero and an hour", [] {
        engine_model model;
        auto now = start;
        std::uint64_t ticket = 0;
        for (int i = 0; i < 60; ++i) {
            now += std::chrono::milliseconds{*rc::gen::inRange(0, 200)};
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                dispatch::record_dispatch(model, ++ticket, *rc::gen::inRange(0U, 60000U), now);
                break;
            case 1:
                dispatch::record_peer_dispatch(model, *rc::gen::inRange(0U, 60000U), now);
                break;
            case 2:
                dispatch::record_first_token(model, *rc::gen::inRange<std::uint64_t>(0, ticket + 2), now);
                break;
            default:
                dispatch::remove_pending_request(model, *rc::gen::inRange<std::uint64_t>(0, ticket + 2));
                break;
            }
            const auto expected = dispatch::expected_time_to_first_token(model, 1000, now);
            RC_ASSERT(expected >= core::duration::zero());
            RC_ASSERT(expected < core::duration{1h});
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
