#include "hibiscusfall/dispatch/endpoint_health.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using dispatch::request_outcome;

namespace
{

constexpr core::instant start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_health_test)

BOOST_AUTO_TEST_CASE(one_failure_counts_but_does_not_take_an_endpoint_out)
{
    dispatch::endpoint_health health;
    dispatch::record_outcome(health, request_outcome::failed, start);
    BOOST_TEST(!dispatch::is_suspended(health, start));
    BOOST_TEST(dispatch::recent_failures(health, start) == 1.0);
    BOOST_TEST(dispatch::recent_failures(health, start + 2s) == 0.5);
}

BOOST_AUTO_TEST_CASE(failures_in_a_row_take_it_out_for_a_bounded_time)
{
    dispatch::endpoint_health health;
    for (int i = 0; i < 20; ++i) {
        dispatch::record_outcome(health, request_outcome::failed, start);
    }
    BOOST_TEST(dispatch::is_suspended(health, start));
    BOOST_TEST(!dispatch::is_suspended(health, start + 2s));
}

BOOST_AUTO_TEST_CASE(an_unreachable_endpoint_is_left_alone_at_once)
{
    dispatch::endpoint_health health;
    dispatch::record_outcome(health, request_outcome::unreachable, start);
    BOOST_TEST(dispatch::is_suspended(health, start));
}

BOOST_AUTO_TEST_CASE(a_good_answer_ends_a_row)
{
    dispatch::endpoint_health health;
    dispatch::record_outcome(health, request_outcome::failed, start);
    dispatch::record_outcome(health, request_outcome::failed, start);
    dispatch::record_outcome(health, request_outcome::succeeded, start);
    dispatch::record_outcome(health, request_outcome::failed, start);
    BOOST_TEST(!dispatch::is_suspended(health, start));
}

BOOST_AUTO_TEST_SUITE_END()
