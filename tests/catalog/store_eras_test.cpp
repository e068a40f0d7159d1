#include "hibiscusfall/catalog/store_eras.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using catalog::era_relation;

BOOST_AUTO_TEST_SUITE(store_eras_test)

BOOST_AUTO_TEST_CASE(the_first_era_that_is_seen_is_no_restoration)
{
    catalog::store_eras eras;
    BOOST_CHECK(catalog::record_era(eras, 7) == era_relation::same);
    BOOST_TEST(eras.current == 7U);
    BOOST_TEST(eras.restorations == 0U);
}

BOOST_AUTO_TEST_CASE(an_era_that_rises_is_a_restoration_also_from_zero_and_over_two)
{
    catalog::store_eras eras;
    BOOST_CHECK(catalog::record_era(eras, 0) == era_relation::same);
    BOOST_CHECK(catalog::record_era(eras, 1) == era_relation::restored);
    BOOST_CHECK(catalog::record_era(eras, 1) == era_relation::same);
    BOOST_CHECK(catalog::record_era(eras, 3) == era_relation::restored);
    BOOST_TEST(eras.restorations == 2U);
}

BOOST_AUTO_TEST_CASE(a_late_answer_changes_nothing)
{
    catalog::store_eras eras;
    BOOST_CHECK(catalog::record_era(eras, 4) == era_relation::same);
    BOOST_CHECK(catalog::record_era(eras, 3) == era_relation::earlier);
    BOOST_TEST(eras.current == 4U);
    BOOST_TEST(eras.restorations == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
