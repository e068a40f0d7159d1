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

BOOST_AUTO_TEST_CASE(no_stream_begins_at_a_version_that_the_store_does_not_name_yet)
{
    platform_store store;
    instance one{store};
    std::atomic<int> changes{0};
    std::atomic<int> early{0};
    store.set_before_change([&] {
        ++changes;
        early += one.may_begin("v1") ? 1 : 0;
    });
    BOOST_TEST(one.list({"v1"}).empty());
    BOOST_TEST(eventually([&] { return one.may_begin("v1"); }));
    BOOST_TEST(registered(store) == "v1,");
    BOOST_TEST(changes == 1);
    BOOST_TEST(early == 0);
    BOOST_TEST(one.version_changes >= 1);
    BOOST_TEST(one.list({"v1", "v2"}) == std::vector<std::string>{"v1"}, boost::test_tools::per_element());
    BOOST_TEST(eventually([&] { return one.may_begin("v2"); }));
    BOOST_TEST(registered(store) == "v1,v2,");
}

BOOST_AUTO_TEST_CASE(a_new_version_is_used_and_registered_later_if_the_store_fails)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    for (const auto kind : {platform_store::fault::unavailable, platform_store::fault::unresponsive}) {
        const std::string version = kind == platform_store::fault::unavailable ? "v2" : "v3";
        store.set_fault(kind);
        const auto begun = std::chrono::steady_clock::now();
        BOOST_TEST(one.list({"v1", version}).size() == 1U);
        BOOST_TEST(eventually([&] { return one.may_begin(version); }));
        BOOST_TEST((std::chrono::steady_clock::now() - begun >= 500ms));
        BOOST_TEST(one.uses_unregistered());
        BOOST_TEST(one.found("r1") == "(unavailable)");
        one.begin("at " + version, version);
        store.set_fault(platform_store::fault::none);
        BOOST_TEST(eventually([&] { return !one.uses_unregistered(); }));
        BOOST_TEST((registered(store).find(version) != std::string::npos));
    }
    BOOST_TEST(registered(store) == "v1,v2,v3,");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 2; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("at v2") == "v2");
    BOOST_TEST(restarted.found("at v3") == "v3");
}

BOOST_AUTO_TEST_CASE(two_instances_that_register_at_once_keep_both_versions)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    std::atomic<int> changes{0};
    store.set_before_change([&] {
        if (++changes == 1) {
            other.serve({"v1", "v3"}); // after the first one has read, and before it writes
        }
    });
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_TEST(changes >= 3);
    BOOST_TEST(registered(store) == "v1,v2,v3,");
}

BOOST_AUTO_TEST_CASE(a_version_listed_while_another_is_being_registered_is_not_forgotten)
{
    platform_store store;
    instance one{store};
    std::atomic<int> changes{0};
    store.set_before_change([&] {
        if (++changes == 1) {
            one.list({"v1", "v2"});
        }
    });
    one.list({"v1"});
    BOOST_TEST(eventually([&] { return one.may_begin("v2"); }));
    BOOST_TEST(registered(store) == "v1,v2,");
}

BOOST_AUTO_TEST_CASE(versions_that_cannot_be_read_are_replaced)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    for (const auto* value : {"garbage", "{}", "[]", "{\"versions\":7}", "{\"versions\":[7]}", ""}) {
        store.put(store.keys("versions/").front(), value);
        instance restarted{store};
        BOOST_TEST(restarted.find("r1").state != origin_state::known);
        BOOST_TEST(restarted.serve({"v1"}));
        BOOST_TEST(registered(store) == "v1,");
    }
}

BOOST_AUTO_TEST_CASE(of_three_versions_one_that_left_is_kept_for_its_streams_and_may_return)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r2", "v2");
    BOOST_REQUIRE(one.serve({"v2", "v3"}));
    one.begin("r3", "v3");
    BOOST_TEST(registered(store) == "v1,v2,v3,");
    one.list({"v3"}); // a single version is listed, and three are still possible
    one.begin("r4", "v3");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 4; }));
    instance restarted{store};
    BOOST_REQUIRE(restarted.serve({"v3"}));
    BOOST_TEST(restarted.found("r1") == "v1");
    BOOST_TEST(restarted.found("r2") == "v2");
    BOOST_TEST(restarted.found("r3") == "v3");
    BOOST_TEST(restarted.found("from before the second version") == "v1");
    store.expire_leases();
    BOOST_TEST(eventually([&] { return stored_streams(store) == 4; })); // written again
    BOOST_TEST(eventually([&] { return restarted.found("nothing") == "(unknown)"; }));
    BOOST_REQUIRE(one.serve({"v1"}));
    one.begin("r5", "v1");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 5; }));
    BOOST_TEST(restarted.found("r5") == "v1");
}

BOOST_AUTO_TEST_CASE(a_version_that_left_long_ago_is_removed_and_registered_anew_when_it_returns)
{
    platform_store store;
    instance one{store, {}, {.version_retention = 300ms}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    const auto left = std::chrono::steady_clock::now();
    one.list({"v2"});
    BOOST_TEST(eventually([&] { return registered(store) == "v2,"; }));
    BOOST_TEST((std::chrono::steady_clock::now() - left >= 300ms));
    BOOST_TEST(eventually([&] { return !one.may_begin("v1"); }));
    BOOST_TEST(one.found("r1") == "v2");
    std::atomic<int> early{0};
    store.set_before_change([&] { early += one.may_begin("v1") ? 1 : 0; });
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_TEST(early == 0);
    BOOST_TEST(registered(store) == "v1,v2,");
}

BOOST_AUTO_TEST_CASE(a_version_that_the_own_list_lacks_yet_is_not_removed_from_the_store)
{
    constexpr auto retention = 1500ms;
    platform_store store;
    instance one{store, {}, {.version_retention = retention}};
    BOOST_REQUIRE(one.serve({"v1"}));
    std::this_thread::sleep_for(retention + 300ms); // it may remove versions from now on
    instance other{store};
    const auto begun = std::chrono::steady_clock::now();
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    // It has read both versions, and lists one.
    BOOST_TEST(one.found("r1") == "v1");
    store.expire_leases();
    BOOST_TEST(one.found("r1") == "(unknown)");
    BOOST_TEST(eventually([&] { return registered(store) == "v1,"; }));
    BOOST_TEST((std::chrono::steady_clock::now() - begun >= retention));
}

BOOST_AUTO_TEST_CASE(a_registration_does_not_remove_what_another_instance_registered_just_before)
{
    constexpr auto retention = 1500ms;
    platform_store store;
    instance one{store, {}, {.version_retention = retention}};
    BOOST_REQUIRE(one.serve({"v1"}));
    std::this_thread::sleep_for(retention + 300ms);
    instance other{store};
    const auto begun = std::chrono::steady_clock::now();
    BOOST_REQUIRE(other.serve({"v1", "v3"}));
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    const auto after = registered(store);
    BOOST_TEST((after == "v1,v2,v3," || std::chrono::steady_clock::now() - begun >= retention), after);
}

BOOST_AUTO_TEST_SUITE_END()
