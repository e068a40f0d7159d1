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

BOOST_AUTO_TEST_CASE(no_take_up_is_answered_from_the_versions_of_a_restored_copy)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    BOOST_REQUIRE(other.serve({"v1"}));
    const auto earlier = store.snapshot();
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    other.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    store.restore(earlier);
    BOOST_TEST(registered(store) == "v1,");
    BOOST_TEST(one.found("r2") == "(unavailable)"); // and not v1
    BOOST_TEST(other.found("r2") == "(unavailable)");
    BOOST_TEST(eventually([&] { return registered(store) == "v1,v2," && stored_streams(store) == 1; }));
    std::string found;
    BOOST_TEST(eventually([&] { return (found = one.found("r2")) != "(unavailable)"; }));
    BOOST_TEST(found == "v2");
}

BOOST_AUTO_TEST_CASE(an_idle_instance_registers_its_versions_again_after_a_restoration)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto earlier = store.snapshot();
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 1; }));
    store.restore(earlier);
    one.learn_era(store.current_era()); // as the catalog's calls show it
    BOOST_TEST(eventually([&] { return registered(store) == "v1,v2," && stored_streams(store) == 1; }));
    BOOST_TEST(one.found("r2") == "(unavailable)");
    one.learn_era(1); // an answer from before
    BOOST_TEST(eventually([&] { return one.found("r2") == "v2"; }));
}

BOOST_AUTO_TEST_CASE(a_version_that_has_left_is_registered_again_after_a_restoration)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto earlier = store.snapshot();
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r2", "v2");
    one.list({"v1"});
    store.restore(earlier);
    one.learn_era(store.current_era());
    BOOST_TEST(eventually([&] { return registered(store) == "v1,v2," && stored_streams(store) == 1; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("r2") == "v2");
}

// The restored copy has the version from before the request moved, and nobody is left who knows of the move.
BOOST_AUTO_TEST_CASE(an_origin_of_a_restored_copy_is_not_taken_for_the_last_one)
{
    platform_store store;
    platform_store::copy earlier;
    {
        instance gone{store};
        BOOST_REQUIRE(gone.serve({"v1", "v2"}));
        gone.begin("r1", "v1");
        BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
        earlier = store.snapshot();
        gone.begin("r1", "v2");
        BOOST_REQUIRE(eventually([&] { return gone.counts().stored == 2; }));
    }
    store.restore(earlier);
    instance started{store};
    BOOST_TEST(started.find("r1").state != origin_state::known);
    BOOST_REQUIRE(started.serve({"v1", "v2"}));
    BOOST_TEST(started.find("r1").state != origin_state::known);
    // Its own streams replace what the copy has of them.
    started.begin("r1", "v2");
    BOOST_REQUIRE(eventually([&] { return started.counts().stored == 1; }));
    instance other{store};
    BOOST_TEST(other.found("r1") == "v2");
}

// The copy lacks a version at which streams began. An instance that starts then has seen no restoration.
BOOST_AUTO_TEST_CASE(an_instance_that_starts_after_a_restoration_does_not_take_the_versions_for_complete)
{
    platform_store store;
    platform_store::copy earlier;
    {
        instance gone{store};
        BOOST_REQUIRE(gone.serve({"v1"}));
        earlier = store.snapshot();
        BOOST_REQUIRE(gone.serve({"v1", "v2"}));
        gone.begin("r2", "v2");
        BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    }
    store.restore(earlier);
    instance started{store};
    BOOST_TEST(started.found("r2") == "(unavailable)"); // and not v1
    BOOST_TEST(started.serve({"v1"}));                  // new streams do not wait
    started.begin("r3", "v1");
    instance other{store};
    std::string found;
    BOOST_TEST(eventually([&] { return (found = started.found("r2")) != "(unavailable)"; }));
    BOOST_TEST(found == "(unknown)");
    BOOST_TEST(other.found("r2") == "(unknown)");
    // Streams that begin now are recorded.
    BOOST_TEST(eventually([&] { return other.found("r3") == "v1"; }));
}

BOOST_AUTO_TEST_CASE(a_set_that_nobody_remembered_counts_as_complete_once_all_earlier_streams_have_ended)
{
    constexpr auto retention = 4s;
    platform_store store;
    platform_store::copy earlier;
    {
        instance gone{store};
        BOOST_REQUIRE(gone.serve({"v1"}));
        earlier = store.snapshot();
    }
    store.restore(earlier);
    store.restore(earlier); // twice
    instance started{store, {}, {.version_retention = retention}};
    BOOST_REQUIRE(started.serve({"v1"}));
    BOOST_TEST(started.found("r1") == "(unavailable)");
    BOOST_TEST(eventually([&] { return started.found("r1") == "(unknown)"; }));
    BOOST_TEST(registered(store) == "unknown before era 3,v1,");
    BOOST_TEST(eventually([&] { return registered(store) == "v1,"; }));
    BOOST_TEST(eventually([&] { return started.found("r1") == "v1"; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v1");
}

// Instances that were there add what the copy lacks: nothing is unknown then.
BOOST_AUTO_TEST_CASE(an_instance_that_remembers_the_versions_confirms_them_after_a_restoration)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto earlier = store.snapshot();
    store.restore(earlier);
    one.learn_era(store.current_era());
    instance started{store};
    BOOST_REQUIRE(started.serve({"v1"}));
    BOOST_TEST(started.found("r1") == "(unavailable)");
    std::string found;
    BOOST_TEST(eventually([&] { return (found = started.found("r1")) != "(unavailable)"; }));
    BOOST_TEST(found == "v1");
    BOOST_TEST(registered(store) == "v1,");
}

// "Not known" tells the caller not to come back, though the set that has just been confirmed names the
// version.
BOOST_AUTO_TEST_CASE(a_take_up_during_which_the_versions_are_confirmed_is_asked_to_come_back)
{
    platform_store store;
    {
        instance one{store};
        BOOST_REQUIRE(one.serve({"v1"}));
    }
    store.restore(store.snapshot());
    const auto set = store.keys("versions/").front();
    instance started{store};
    BOOST_REQUIRE(started.serve({"v1"}));
    std::atomic<bool> confirmed{false};
    std::atomic<int> readings{0};
    std::atomic<int> readings_confirmed{0};
    store.set_before_read([&](const std::string& key) {
        if (key != set) {
            store.put(set, R"({"service":"s1","versions":["v1"],"era":2})");
            confirmed = true;
            eventually([&] { return readings_confirmed > 0; }, 300ms);
            std::this_thread::sleep_for(50ms);
        } else if (++readings > 1) { // by the registration that the take-up has requested
            eventually([&] { return confirmed.load(); }, 300ms);
            ++readings_confirmed;
        }
    });
    BOOST_TEST(started.found("r1") == "(unavailable)");
    BOOST_TEST(readings_confirmed > 0);
    store.set_before_read({});
    BOOST_TEST(eventually([&] { return started.found("r1") == "v1"; }));
}

BOOST_AUTO_TEST_CASE(a_store_that_states_no_era_is_taken_to_be_complete)
{
    platform_store store;
    store.set_era_header(std::nullopt);
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    one.begin("r1", "v1");
    instance started{store};
    BOOST_TEST(started.found("r1") == "v1");
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_TEST(eventually([&] { return stored_streams(store) == 1; }));
    BOOST_TEST(started.found("r1") == "v1");
}

BOOST_AUTO_TEST_CASE(a_set_of_an_earlier_release_is_confirmed_before_it_counts_as_complete)
{
    platform_store store;
    {
        instance one{store};
        BOOST_REQUIRE(one.serve({"v1"}));
    }
    store.put(store.keys("versions/").front(), R"({"service":"s1","versions":["v1"]})");
    instance started{store};
    BOOST_TEST(started.found("r1") == "(unavailable)");
    BOOST_REQUIRE(started.serve({"v1"}));
    BOOST_TEST(eventually([&] { return started.found("r1") == "(unknown)"; }));
    BOOST_TEST(registered(store) == "unknown before era 1,v1,");
}

BOOST_AUTO_TEST_SUITE_END()
