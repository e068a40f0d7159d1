#include "hibiscusfall/dispatch/output_lengths.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;

BOOST_AUTO_TEST_SUITE(output_lengths_test)

BOOST_AUTO_TEST_CASE(half_is_expected_before_the_first_answer)
{
    const dispatch::output_lengths lengths;
    BOOST_TEST(dispatch::expected_output(lengths, "r", 400) == 200U);
}

BOOST_AUTO_TEST_CASE(the_part_that_is_generated_is_learned_for_each_route)
{
    dispatch::output_lengths lengths;
    for (int i = 0; i < 200; ++i) {
        dispatch::record_output(lengths, "r", 400, i % 2 == 0 ? 40 : 120);
    }
    BOOST_TEST(dispatch::expected_output(lengths, "r", 400) > 70U);
    BOOST_TEST(dispatch::expected_output(lengths, "r", 400) < 90U);
    BOOST_TEST(dispatch::expected_output(lengths, "other", 400) == 200U);
}

BOOST_AUTO_TEST_CASE(no_answer_makes_the_expectation_larger_than_what_is_allowed)
{
    dispatch::output_lengths lengths;
    dispatch::record_output(lengths, "r", 10, 1000);
    dispatch::record_output(lengths, "r", 0, 1000);
    BOOST_TEST(dispatch::expected_output(lengths, "r", 400) == 400U);
}

BOOST_AUTO_TEST_SUITE_END()
