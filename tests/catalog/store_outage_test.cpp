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
    catalog::note_failed_call(outage, start);
    catalog::note_return(outage, start + 60ms);
    BOOST_TEST((catalog::entries_settle_at(outage) <= start));
}

BOOST_AUTO_TEST_CASE(entries_settle_some_time_after_the_return_and_not_after_each_entry_vanishes)
{
    catalog::store_outage outage;
    for (auto at = 0ms; at <= 3000ms; at += 500ms) {
        catalog::note_failed_call(outage, start + at);
    }
    catalog::note_return(outage, start + 3200ms);
    BOOST_TEST((catalog::entries_settle_at(outage) == start + 3200ms + catalog::lapse_grace));
}

BOOST_AUTO_TEST_CASE(failures_far_apart_are_no_outage)
{
    catalog::store_outage outage;
    catalog::note_failed_call(outage, start);
    catalog::note_failed_call(outage, start + 10s);
    BOOST_TEST((catalog::entries_settle_at(outage) <= start));
}

BOOST_AUTO_TEST_SUITE_END()
