#include "origin_instance.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <thread>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using connection_end = platform_store::connection_end;

BOOST_AUTO_TEST_SUITE(store_connection_test)

// The first take-up at each instance was refused with "the store cannot be read" once the store had closed
// its idle connections.
BOOST_AUTO_TEST_CASE(a_take_up_is_not_refused_as_an_idle_connection_has_ended)
{
    for (const auto how : {connection_end::closed, connection_end::at_a_request, connection_end::silent}) {
        BOOST_TEST_CONTEXT("end " << static_cast<int>(how))
        {
            platform_store store;
            instance single{store};
            BOOST_REQUIRE(single.serve({"v1"}));
            store.end_connections(how);
            std::this_thread::sleep_for(20ms); // a close has arrived
            BOOST_TEST(single.found("r1") == "v1");
            instance mixed{store};
            BOOST_REQUIRE(mixed.serve({"v1", "v2"}));
            mixed.begin("r2", "v2");
            BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
            instance other{store};
            BOOST_REQUIRE(other.serve({"v1", "v2"}));
            store.end_connections(how);
            std::this_thread::sleep_for(20ms);
            BOOST_TEST(other.found("r2") == "v2");
        }
    }
}

// The connections of a burst of take-ups are kept, and all of them end while they are idle.
BOOST_AUTO_TEST_CASE(no_take_up_is_refused_as_several_kept_connections_have_ended)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1"}));
    const auto take_up = [&] {
        std::vector<std::future<origin_reading>> readings;
        for (int i = 0; i < 8; ++i) {
            readings.push_back(one.start_find("r" + std::to_string(i)));
        }
        for (auto& each : readings) {
            BOOST_TEST(each.get().version == "v1");
        }
    };
    take_up();
    for (const auto how : {connection_end::closed, connection_end::at_a_request, connection_end::silent}) {
        store.end_connections(how);
        std::this_thread::sleep_for(20ms);
        take_up();
    }
}

// A call without an answer may have been executed.
BOOST_AUTO_TEST_CASE(a_change_is_not_sent_again_on_another_connection)
{
    platform_store store;
    instance one{store, {}, {.lease_check_interval = 1h}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 1; }));
    const auto calls = one.counts().calls;
    const auto failed = one.counts().failed_calls;
    store.end_connections(connection_end::at_a_request);
    one.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 2; }));
    // The batch failed, and was written with the next one.
    BOOST_TEST(one.counts().failed_calls == failed + 1);
    BOOST_TEST(one.counts().calls == calls + 2);
}

BOOST_AUTO_TEST_SUITE_END()
