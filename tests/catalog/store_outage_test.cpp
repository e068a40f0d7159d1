#include "hibiscusfall/catalog/store_outage.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};

} // namespace

BOOST_AUTO_TEST_SUITE(store_outage_test)

BOOST_AUTO_TEST_CASE(a_single_failed_call_loses_no_entries)
{
    catalog::store_outage outage;
    catalog::record_failed_call(outage, start);
    catalog::record_recovery(outage, start + 60ms);
    BOOST_TEST((catalog::removal_deadline(outage) <= start));
}

BOOST_AUTO_TEST_CASE(entries_settle_some_time_after_the_return_and_not_after_each_entry_vanishes)
{
    catalog::store_outage outage;
    for (auto at = 0ms; at <= 3000ms; at += 500ms) {
        catalog::record_failed_call(outage, start + at);
    }
    catalog::record_recovery(outage, start + 3200ms);
    BOOST_TEST((catalog::removal_deadline(outage) == start + 3200ms + catalog::reregistration_grace));
}

BOOST_AUTO_TEST_CASE(failures_far_apart_are_no_outage)
{
    catalog::store_outage outage;
    catalog::record_failed_call(outage, start);
    catalog::record_failed_call(outage, start + 10s);
    BOOST_TEST((catalog::removal_deadline(outage) <= start));
}

BOOST_AUTO_TEST_SUITE_END()
