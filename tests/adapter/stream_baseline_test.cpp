#include "baseline_record.hpp"
#include "origin_instance.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;

namespace
{

/// Registers v1, and then v2 by an instance that stays.
void join(instance& at)
{
    BOOST_REQUIRE(at.serve({"v1"}));
    BOOST_REQUIRE(at.serve({"v1", "v2"}));
}

std::string baseline(platform_store& store)
{
    const auto keys = store.keys("baselines/");
    const auto value = keys.empty() ? std::nullopt : store.value(keys.front());
    const auto record = adapter::decode_baseline(value.value_or(""));
    return record ? record->version : "none";
}

} // namespace

// What an instance that lacks the record of a stream may conclude of its version.
BOOST_AUTO_TEST_SUITE(stream_baseline_test)

BOOST_AUTO_TEST_CASE(a_record_names_an_era_and_a_version)
{
    const auto read = adapter::decode_baseline(adapter::encode_baseline({.version = "v 1", .era = 7}));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->version == "v 1");
    BOOST_TEST(read->era == 7U);
    for (const auto* value : {"", "7", "7 ", "v1", " v1", "-1 v1", "99999999999999999999 v1"}) {
        BOOST_TEST(!adapter::decode_baseline(value).has_value(), value);
    }
}

// An instance that is killed or stands still as the second version comes has not written its streams.
BOOST_AUTO_TEST_CASE(a_stream_that_was_never_written_began_at_the_version_that_was_alone)
{
    platform_store store;
    instance other{store};
    join(other);
    instance restarted{store};
    for (auto* each : {&other, &restarted}) {
        const auto reading = each->find("r1");
        BOOST_TEST((reading.state == origin_state::known));
        BOOST_TEST(reading.version == "v1");
        BOOST_TEST(!reading.recorded); // it proves no beginning
    }
    BOOST_TEST(restarted.counts().from_baseline == 1U);
    BOOST_TEST(registered(store) == "v1,v2,");
    BOOST_TEST(baseline(store) == "v1");
}

BOOST_AUTO_TEST_CASE(a_record_goes_before_the_baseline)
{
    platform_store store;
    instance one{store};
    join(one);
    one.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    BOOST_TEST(found_without_memory(store, "r2") == "v2");
}

// Streams from before the second version are known by the baseline: they are not written when it comes.
BOOST_AUTO_TEST_CASE(only_streams_that_the_baseline_does_not_cover_are_written)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    one.begin("short", "v1", team, 10s);
    one.begin("long", "v1", team, 40s);
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("later", "v1", team, 10s);
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    std::this_thread::sleep_for(several_batches);
    BOOST_TEST(one.is_stored("long"));
    BOOST_TEST(stored_streams(store) == 1U);
    store.expire_leases(); // and with them the baseline
    BOOST_TEST(eventually([&] { return stored_streams(store) == 3; }));
}

// Leases may run out while the store is away: records and baseline are gone together, and a stream of v2 must
// not be taken for one of v1.
BOOST_AUTO_TEST_CASE(nothing_is_concluded_once_leases_have_run_out)
{
    platform_store store;
    instance other{store};
    {
        instance gone{store};
        join(gone);
        BOOST_REQUIRE(other.serve({"v1", "v2"}));
        gone.begin("r2", "v2");
        BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    }
    store.expire_leases();
    instance restarted{store};
    BOOST_TEST(other.found_in_the_end("r2") == "(unknown)");
    BOOST_TEST(restarted.found_in_the_end("r2") == "(unknown)");
    BOOST_TEST(restarted.serve({"v1", "v2"}));
    BOOST_TEST(restarted.found_in_the_end("r2") == "(unknown)");
    BOOST_TEST(baseline(store) == "none");
}

BOOST_AUTO_TEST_CASE(nothing_is_concluded_after_a_restoration)
{
    for (const bool before_join : {true, false}) {
        platform_store store;
        instance other{store};
        platform_store::copy earlier;
        {
            instance gone{store};
            BOOST_REQUIRE(gone.serve({"v1"}));
            BOOST_REQUIRE(other.serve({"v1"}));
            earlier = store.snapshot();
            BOOST_REQUIRE(gone.serve({"v1", "v2"}));
            if (!before_join) {
                earlier = store.snapshot();
            }
            BOOST_REQUIRE(other.serve({"v1", "v2"}));
            gone.begin("r2", "v2");
            BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
        }
        store.restore(earlier);
        instance restarted{store};
        for (auto* each : {&other, &restarted}) {
            BOOST_TEST(each->found_in_the_end("r2") == "(unknown)");
        }
    }
}

// The store ends the baseline by its own clock; no instance extends it.
BOOST_AUTO_TEST_CASE(nothing_is_concluded_once_streams_from_before_have_ended)
{
    platform_store store;
    const adapter::origin_times times{
        .lease_check_interval = 50ms,
        .baseline = {.lifetime = 1500ms, .max_learning_time = 500ms, .check_interval = 200ms}};
    instance one{store, {}, times};
    join(one);
    one.begin("r1", "v1");
    BOOST_TEST(one.found_in_the_end("from before") == "v1");
    BOOST_TEST(eventually([&] { return baseline(store) == "none"; }));
    BOOST_TEST(one.found_in_the_end("from before") == "(unknown)");
    instance restarted{store, {}, times};
    BOOST_TEST(restarted.found_in_the_end("from before") == "(unknown)");
    BOOST_TEST(restarted.found_in_the_end("r1") == "v1");
    // A third version brings none: streams without a record may have begun at two.
    BOOST_REQUIRE(one.serve({"v1", "v2", "v3"}));
    BOOST_TEST(baseline(store) == "none");
    BOOST_TEST(restarted.found_in_the_end("from before") == "(unknown)");
}

BOOST_AUTO_TEST_CASE(a_third_version_within_the_lifetime_leaves_the_baseline_as_it_was)
{
    platform_store store;
    instance one{store};
    join(one);
    instance other{store};
    BOOST_REQUIRE(other.serve({"v1", "v2", "v3"}));
    BOOST_TEST(baseline(store) == "v1");
    BOOST_TEST(other.found_in_the_end("from before") == "v1");
    BOOST_TEST(one.found_in_the_end("from before") == "v1");
}

BOOST_AUTO_TEST_CASE(two_versions_that_come_at_once_leave_the_baseline_to_the_first)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    BOOST_REQUIRE(one.serve({"v1", "v2", "v3"}));
    BOOST_TEST(baseline(store) == "v1");
    BOOST_TEST(one.found_in_the_end("from before") == "v1");
    // Of two that were there from the beginning none is the baseline.
    platform_store other_store;
    instance other{other_store};
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    BOOST_TEST(baseline(other_store) == "none");
    BOOST_TEST(other.found_in_the_end("nothing") == "(unknown)");
}

BOOST_AUTO_TEST_CASE(a_version_that_left_and_another_that_returns_have_a_new_baseline)
{
    platform_store store;
    instance one{store, {}, {.version_retention = 300ms}};
    join(one);
    one.list({"v2"});
    BOOST_REQUIRE(eventually([&] { return registered(store) == "v2,"; }));
    BOOST_REQUIRE(eventually([&] { return !one.may_begin("v1"); }));
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_TEST(baseline(store) == "v2");
    BOOST_TEST(one.found_in_the_end("from before") == "v2");
    BOOST_TEST(found_without_memory(store, "from before") == "v2");
}

// The one that was alone has left: streams may have begun unregistered at the next one.
BOOST_AUTO_TEST_CASE(a_version_that_has_left_when_the_next_one_comes_is_no_baseline)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    BOOST_REQUIRE(one.serve({"v2"}));
    BOOST_TEST(registered(store) == "v1,v2,");
    BOOST_TEST(baseline(store) == "none");
    BOOST_TEST(one.found_in_the_end("nothing") == "(unknown)");
}

// Instances of an earlier release write the set in its older form, or add a version without a baseline.
BOOST_AUTO_TEST_CASE(a_version_that_an_earlier_release_adds_brings_no_baseline)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto set = store.keys("versions/").front();
    store.put(set, R"({"service":"s1","versions":["v1","v2"],"era":1})");
    BOOST_TEST(one.found_in_the_end("r1") == "(unknown)");
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_TEST(baseline(store) == "none");
    store.put(set, R"({"service":"s1","versions":["v1"]})"); // without an era: not known to be complete
    BOOST_REQUIRE(one.serve({"v1", "v2", "v3"}));
    BOOST_TEST(baseline(store) == "none");
    BOOST_TEST(one.find("r1").state != origin_state::known);
}

// A stream at v2 that is passed on without a record would be continued at v1.
BOOST_AUTO_TEST_CASE(an_instance_that_cannot_write_prefers_the_baseline_version_until_it_can)
{
    platform_store store;
    instance one{store};
    join(one);
    BOOST_TEST(!one.is_deprioritized("v2"));
    store.set_fault(platform_store::fault::unavailable);
    one.begin("r2", "v2");
    BOOST_TEST(eventually([&] { return one.is_deprioritized("v2"); }));
    BOOST_TEST(!one.is_deprioritized("v1"));
    store.set_fault(platform_store::fault::none);
    BOOST_TEST(eventually([&] { return !one.is_deprioritized("v2"); }));
    // Also if nothing is left to be written when the store is back.
    store.set_fault(platform_store::fault::unavailable);
    one.begin("r3", "v2", team, 500ms);
    BOOST_TEST(eventually([&] { return one.is_deprioritized("v2"); }));
    std::this_thread::sleep_for(600ms);
    store.set_fault(platform_store::fault::none);
    BOOST_TEST(eventually([&] { return !one.is_deprioritized("v2"); }));
}

// For a moment after the outage another instance reads the set without the new version, and concludes the one
// in it.
BOOST_AUTO_TEST_CASE(a_version_that_was_begun_while_the_store_was_away_is_not_missed_after_its_return)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    BOOST_REQUIRE(other.serve({"v1"}));
    store.set_fault(platform_store::fault::unavailable);
    one.list({"v1", "v2"});
    BOOST_REQUIRE(eventually([&] { return one.uses_unregistered(); }));
    one.begin("r1", "v1");
    one.begin("r2", "v2");
    BOOST_TEST(one.is_deprioritized("v2"));
    BOOST_TEST((one.need_of_record("r2") == dispatch::record_need::required));
    store.set_fault(platform_store::fault::none);
    BOOST_TEST(other.found_in_the_end("r1") == "v1");
    // No event of r2 is passed on before others find its version.
    BOOST_REQUIRE(eventually([&] { return one.is_known_elsewhere("r2"); }));
    BOOST_TEST(other.found_in_the_end("r2") == "v2");
}

BOOST_AUTO_TEST_CASE(a_baseline_that_cannot_be_read_is_no_answer)
{
    platform_store store;
    instance one{store};
    join(one);
    const auto key = store.keys("baselines/").front();
    for (const auto* value : {"garbage", "", "2 v1"}) { // the last one is of another era
        store.put(key, value);
        instance restarted{store};
        BOOST_TEST(restarted.found_in_the_end("r1") == "(unknown)", value);
        BOOST_TEST(restarted.serve({"v1", "v2"}), value);
    }
}

// The answer to the registration was lost, so that the instance does not know whether it was done.
BOOST_AUTO_TEST_CASE(an_instance_whose_registration_got_no_answer_reads_the_baseline)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    store.set_changes_lost(true);
    one.list({"v1", "v2"});
    BOOST_REQUIRE(eventually([&] { return store.lost_change_count() > 0; }));
    store.set_changes_lost(false);
    store.carry_out_lost_changes();
    BOOST_REQUIRE(eventually([&] { return one.may_begin("v2"); }));
    BOOST_TEST(baseline(store) == "v1");
    BOOST_TEST(one.found_in_the_end("from before") == "v1");
    one.begin("short", "v1", team, 8s);
    std::this_thread::sleep_for(several_batches);
    BOOST_TEST(stored_streams(store) == 0U); // covered
}

BOOST_AUTO_TEST_SUITE_END()
