#include "origin_instance.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(origin_store_test)

BOOST_AUTO_TEST_CASE(a_single_version_costs_no_writes_and_is_found_without_memory)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    for (int i = 0; i < 5; ++i) {
        one.begin("r" + std::to_string(i), "v1");
    }
    std::this_thread::sleep_for(several_batches);
    BOOST_TEST(stored_streams(store) == 0U);
    BOOST_TEST(store.lease_count() == 0U);
    instance without_list{store};
    BOOST_TEST(without_list.found("r0") == "v1");
    instance with_list{store};
    with_list.list({"v1"});
    BOOST_TEST(with_list.found("r0") == "v1");
    BOOST_TEST(registered(store) == "v1,");
}

BOOST_AUTO_TEST_CASE(streams_that_began_before_the_second_version_came_are_not_lost)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    one.begin("early1", "v1");
    one.begin("early2", "v1");
    std::this_thread::sleep_for(several_batches); // they are looked at before the second version comes
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("late", "v2");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 3; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("early1") == "v1");
    BOOST_TEST(restarted.found("early2") == "v1");
    BOOST_TEST(restarted.found("late") == "v2");
    restarted.list({"v2"}); // of v1 none is left
    BOOST_TEST(restarted.found("early1") == "v1");
}

// An instance that stands still when the second version comes cannot write its streams, and nobody takes them
// up.
BOOST_AUTO_TEST_CASE(a_stream_from_before_the_second_version_goes_on_though_its_instance_never_recorded_it)
{
    platform_store store;
    instance other{store};
    BOOST_REQUIRE(other.serve({"v1"}));
    {
        instance gone{store};
        BOOST_REQUIRE(gone.serve({"v1"}));
        gone.begin("r1", "v1");
    }
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    BOOST_TEST(other.found("r1") == "v1");
}

BOOST_AUTO_TEST_CASE(an_id_that_names_nothing_is_not_guessed_while_versions_are_mixed)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    instance restarted{store};
    for (auto* each : {&one, &restarted}) {
        for (const auto& id : {std::string{"nothing"},
                               std::string{},
                               std::string{"r1 "},
                               std::string{"\0\xff\r\n", 4},
                               std::string(10000, 'x')}) {
            BOOST_TEST(each->found(id) == "(unknown)");
        }
    }
    // A value that names no version is no answer either.
    store.put(store.keys("streams/").front(), "");
    BOOST_TEST(restarted.find("r1").state != origin_state::known);
}

BOOST_AUTO_TEST_CASE(a_version_that_another_instance_has_just_registered_is_seen_by_a_take_up)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    BOOST_TEST(one.found("r1") == "v1");
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    // No caller has the first event of a stream at the second version before the stream is written.
    BOOST_TEST(one.found("from before") == "v1");
    store.expire_leases();
    BOOST_TEST(one.found("not written yet") == "(unknown)");
    other.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    BOOST_TEST(one.found("r2") == "v2");
    one.begin("r3", "v1"); // from now on this instance writes too
    BOOST_TEST(eventually([&] { return stored_streams(store) == 2; }));
}

BOOST_AUTO_TEST_CASE(a_take_up_just_before_the_batch_is_written_finds_its_stream)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    // The first call for the stream is answered before the stream is written.
    std::atomic<bool> waiting{false};
    std::atomic<bool> released{false};
    store.set_before_change([&] {
        waiting = true;
        eventually([&] { return released.load(); });
    });
    one.begin("r1", "v2");
    BOOST_REQUIRE(eventually([&] { return waiting.load(); }));
    const auto calls = other.counts().calls;
    auto reading = other.start_find("r1");
    BOOST_REQUIRE(eventually([&] { return other.counts().calls > calls; }));
    BOOST_TEST(stored_streams(store) == 0U);
    std::this_thread::sleep_for(20ms); // the first reading returns nothing
    released = true;
    BOOST_TEST(reading.get().version == "v2");
}

BOOST_AUTO_TEST_CASE(a_store_that_fails_is_not_waited_for_and_nothing_is_guessed)
{
    platform_store store;
    instance single{store};
    BOOST_REQUIRE(single.serve({"v1"}));
    for (const auto kind : {platform_store::fault::unresponsive,
                            platform_store::fault::unavailable,
                            platform_store::fault::disconnect}) {
        instance mixed{store};
        BOOST_REQUIRE(mixed.serve({"v1", "v2"}));
        store.expire_leases(); // no baseline shows where streams without a record began
        instance empty{store};
        store.set_fault(kind);
        for (auto* each : {&single, &mixed, &empty}) {
            const auto begun = std::chrono::steady_clock::now();
            BOOST_TEST(each->found("r1") == "(unavailable)");
            BOOST_TEST((std::chrono::steady_clock::now() - begun < 2s));
        }
        store.set_fault(platform_store::fault::none);
        // What the store lacks right after an outage may be about to be written again.
        std::string found;
        BOOST_TEST(eventually([&] { return (found = mixed.found("r1")) != "(unavailable)"; }));
        BOOST_TEST(found == "(unknown)");
    }
}

// "Not known" tells the caller not to come back, though the stream's instance is about to write it again.
BOOST_AUTO_TEST_CASE(a_take_up_right_after_an_outage_is_asked_to_come_back)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    store.set_fault(platform_store::fault::unavailable);
    BOOST_TEST(other.found("r1") == "(unavailable)");
    store.expire_leases();
    store.set_fault(platform_store::fault::none);
    std::string found;
    BOOST_TEST(eventually([&] { return (found = other.found("r1")) != "(unavailable)"; }));
    BOOST_TEST(found == "v1");
}

BOOST_AUTO_TEST_CASE(lookups_do_not_use_up_the_reads_of_the_store)
{
    platform_store store;
    instance one{store, {.writes = 100, .reads = 2}};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto calls = one.counts().calls;
    std::vector<std::future<origin_reading>> readings;
    for (int i = 0; i < 50; ++i) {
        readings.push_back(one.start_find("r1"));
    }
    std::uint64_t known = 0;
    for (auto& each : readings) {
        known += each.get().state == origin_state::known ? 1U : 0U;
    }
    BOOST_TEST(known >= 3U); // a burst of three seconds
    BOOST_TEST(known < 50U);
    BOOST_TEST(one.counts().limited == 50 - known);
    BOOST_TEST(one.counts().calls - calls == known);
    BOOST_TEST(eventually([&] { return one.found("r1") == "v1"; })); // a second later
}

BOOST_AUTO_TEST_CASE(a_team_learns_nothing_of_another_teams_stream_with_the_same_id)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("same", "v1", 1);
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("same", 2) == "(unknown)");
    one.begin("same", "v2", 2);
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 2; }));
    BOOST_TEST(restarted.found("same", 1) == "v1");
    BOOST_TEST(restarted.found("same", 2) == "v2");
    for (const auto& key : store.keys("streams/")) {
        BOOST_TEST((key.find("same") == std::string::npos));
    }
}

BOOST_AUTO_TEST_SUITE_END()
