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

namespace
{

/// The store's address of an instance that is cut off from it: nothing listens there.
const core::address unreachable{.host = "127.0.0.1", .port = 1};

/// Begins a stream whose write gets no response, like all changes from now on.
void begin_with_lost_write(platform_store& store,
                           instance& at,
                           const std::string& id,
                           const std::string& version)
{
    store.set_changes_lost(true);
    at.begin(id, version);
    BOOST_REQUIRE(eventually([&] { return store.lost_change_count() == 1; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(origin_store_test)

BOOST_AUTO_TEST_CASE(more_streams_than_one_call_may_write_are_all_stored)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    constexpr std::size_t streams = 300;
    for (std::size_t i = 0; i < streams; ++i) {
        one.begin("r" + std::to_string(i), i % 2 == 0 ? "v1" : "v2");
    }
    BOOST_TEST(eventually([&] { return stored_streams(store) == streams; }));
    BOOST_TEST(eventually([&] { return one.counts().stored == streams; }));
    BOOST_TEST(store.lease_count() == 1U);
    instance restarted{store};
    BOOST_TEST(restarted.found("r0") == "v1");
    BOOST_TEST(restarted.found("r299") == "v2");
}

BOOST_AUTO_TEST_CASE(origins_that_could_not_be_written_are_written_later)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    for (const auto kind : {platform_store::fault::unresponsive,
                            platform_store::fault::unavailable,
                            platform_store::fault::disconnect}) {
        const auto failed = one.counts().failed_calls;
        const auto before = stored_streams(store);
        store.set_fault(kind);
        one.begin("r" + std::to_string(static_cast<int>(kind)), "v2");
        BOOST_REQUIRE(eventually([&] { return one.counts().failed_calls > failed; }));
        store.set_fault(platform_store::fault::none);
        BOOST_TEST(eventually([&] { return stored_streams(store) == before + 1; }));
    }
}

// A late write of the version before replaced the newer one, and another instance continued the stream there.
BOOST_AUTO_TEST_CASE(a_write_that_is_done_late_does_not_replace_the_version_that_a_request_moved_to)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    store.set_changes_lost(true);
    one.begin("moved", "v1");
    one.begin("stayed", "v1");
    BOOST_REQUIRE(eventually([&] { return store.lost_change_count() == 1; }));
    one.begin("moved", "v2");
    store.set_changes_lost(false);
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 2; }));
    store.carry_out_lost_changes();
    instance restarted{store};
    BOOST_TEST(restarted.found("moved") == "v2");
    BOOST_TEST(restarted.found("stayed") == "v1");
}

BOOST_AUTO_TEST_CASE(a_write_that_was_done_without_an_answer_is_not_repeated_for_ever)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    begin_with_lost_write(store, one, "r1", "v1");
    store.carry_out_lost_changes(); // its condition holds now, and not again later
    store.set_changes_lost(false);
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 1; }));
    BOOST_TEST(one.counts().conflicts == 1U);
    one.begin("r1", "v2");
    BOOST_TEST(eventually([&] { return one.counts().stored == 2; }));
    BOOST_TEST(one.counts().conflicts == 1U); // the condition was learned from the conflict
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v2");
}

// A call is all or nothing: the other streams of a batch must not wait for the one whose condition fails.
BOOST_AUTO_TEST_CASE(a_condition_that_fails_keeps_no_other_stream_of_its_batch_from_being_stored)
{
    platform_store store;
    instance one{store};
    instance other{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    other.begin("r3", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    one.begin("r3", "v1"); // taken up here, so that it is to be written again
    for (int i = 4; i < 12; ++i) {
        one.begin("r" + std::to_string(i), "v2");
    }
    BOOST_TEST(eventually([&] { return stored_streams(store) == 9; }));
    BOOST_TEST(eventually([&] { return one.counts().stored == 9; }));
    BOOST_TEST(one.counts().conflicts == 1U);
    instance restarted{store};
    BOOST_TEST(restarted.found("r3") == "v1");
    BOOST_TEST(restarted.found("r11") == "v2");
}

// The lease that a late write names has ended, or its keys were lost: the newer record must not be undone.
BOOST_AUTO_TEST_CASE(a_late_write_after_the_end_of_its_lease_does_not_bring_an_earlier_version_back)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    begin_with_lost_write(store, one, "r1", "v1");
    store.set_changes_lost(false);
    one.begin("r1", "v2");
    BOOST_REQUIRE(eventually([&] { return one.counts().stored == 1; }));
    store.expire_leases();
    store.carry_out_lost_changes();
    BOOST_TEST(eventually([&] { return stored_streams(store) == 1; }));
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v2");
}

BOOST_AUTO_TEST_CASE(the_next_batch_after_the_end_of_a_lease_takes_a_new_one)
{
    platform_store store;
    instance one{store, {}, {.lease_check_interval = 1h}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    BOOST_TEST(store.lease_count() == 1U);
    store.expire_leases();
    BOOST_TEST(stored_streams(store) == 0U);
    BOOST_TEST(registered(store) == "v1,v2,"); // under no lease
    one.begin("r2", "v2");
    BOOST_TEST(eventually([&] { return stored_streams(store) == 2; }));
    BOOST_TEST(store.lease_count() == 2U);
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v1");
    BOOST_TEST(restarted.found("r2") == "v2");
}

// Streams were refused at every other instance once their keys had gone with the lease.
BOOST_AUTO_TEST_CASE(streams_whose_lease_ran_out_in_an_outage_are_written_again_without_another_write)
{
    platform_store store;
    instance one{store};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    constexpr std::size_t streams = 40;
    for (std::size_t i = 0; i < streams; ++i) {
        one.begin("r" + std::to_string(i), i % 2 == 0 ? "v1" : "v2");
    }
    for (int outage = 1; outage <= 3; ++outage) {
        BOOST_TEST_CONTEXT("outage " << outage)
        {
            BOOST_REQUIRE(eventually([&] { return stored_streams(store) == streams; }));
            store.set_fault(platform_store::fault::unavailable);
            store.expire_leases();
            BOOST_REQUIRE(stored_streams(store) == 0U);
            store.set_fault(platform_store::fault::none);
        }
    }
    BOOST_TEST(eventually([&] { return stored_streams(store) == streams; }));
    instance other{store};
    BOOST_REQUIRE(other.serve({"v1", "v2"}));
    BOOST_TEST(other.found("r0") == "v1");
    BOOST_TEST(other.found("r39") == "v2");
}

BOOST_AUTO_TEST_CASE(a_lease_that_ran_out_beside_one_that_holds_is_noticed)
{
    platform_store store;
    instance one{store, {}, {.lease_use = core::duration::zero(), .lease_check_interval = 50ms}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    const auto first = store.keys("streams/").front();
    one.begin("r2", "v2");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 2; }));
    BOOST_TEST(store.lease_count() == 2U);
    store.expire_lease_of(first);
    BOOST_TEST(eventually([&] { return store.value(first).has_value(); }));
    BOOST_TEST(eventually([&] { return stored_streams(store) == 2; }));
}

BOOST_AUTO_TEST_CASE(a_stream_that_outlasts_its_lease_stays_known)
{
    platform_store store;
    store.set_max_lease(1500ms);
    instance one{store, {}, {.lease_check_interval = 200ms}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1");
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    std::this_thread::sleep_for(4s);
    BOOST_TEST(stored_streams(store) == 1U);
    BOOST_TEST(store.lease_count() == 1U);
}

BOOST_AUTO_TEST_CASE(no_lease_is_renewed_once_its_streams_have_ended)
{
    platform_store store;
    instance one{store, {}, {.lease_check_interval = 20ms}};
    BOOST_REQUIRE(one.serve({"v1", "v2"}));
    one.begin("r1", "v1", team, 500ms);
    BOOST_REQUIRE(eventually([&] { return stored_streams(store) == 1; }));
    std::this_thread::sleep_for(700ms);
    const auto calls = one.counts().calls;
    std::this_thread::sleep_for(several_batches);
    BOOST_TEST(one.counts().calls == calls);
}

// An instance without the store began streams whose versions nobody could learn once it had ended.
BOOST_AUTO_TEST_CASE(a_stream_that_begins_without_the_store_is_stored_by_a_peer)
{
    platform_store store;
    instance helper{store};
    BOOST_REQUIRE(helper.serve({"v1", "v2"}));
    {
        instance cut{unreachable};
        cut.hand_over_to(helper);
        BOOST_REQUIRE(cut.serve({"v1", "v2"}));
        cut.begin("r1", "v1");
        cut.begin("r2", "v2");
        BOOST_TEST(eventually([&] { return cut.is_stored("r1") && cut.is_stored("r2"); }));
        BOOST_TEST(cut.counts().stored_by_peers == 2U);
        // A request that moves is handed over again.
        cut.begin("r1", "v2");
        BOOST_TEST(!cut.is_stored("r1"));
        BOOST_TEST(eventually([&] { return cut.is_stored("r1"); }));
    }
    BOOST_TEST(stored_streams(store) == 2U);
    instance restarted{store};
    BOOST_TEST(restarted.found("r1") == "v2");
    BOOST_TEST(restarted.found("r2") == "v2");
    // The helper does not relay these streams, so that it asks the store too.
    BOOST_TEST(helper.found("r1") == "v2");
}

// What a peer has stored for an instance lasts as long as its streams, like what it writes itself.
BOOST_AUTO_TEST_CASE(streams_stored_for_a_peer_are_written_again_after_a_loss)
{
    platform_store store;
    instance helper{store};
    BOOST_REQUIRE(helper.serve({"v1", "v2"}));
    instance cut{unreachable};
    cut.hand_over_to(helper);
    BOOST_REQUIRE(cut.serve({"v1", "v2"}));
    const auto earlier = store.snapshot();
    cut.begin("r1", "v2");
    BOOST_REQUIRE(eventually([&] { return cut.is_stored("r1"); }));
    store.restore(earlier);
    helper.learn_era(store.current_era());
    BOOST_TEST(eventually([&] { return stored_streams(store) == 1; }));
    store.expire_leases();
    BOOST_TEST(eventually([&] { return stored_streams(store) == 1; }));
}

// A peer that took the origins without being able to store them would keep others from being asked.
BOOST_AUTO_TEST_CASE(an_instance_that_cannot_write_takes_no_origins_of_its_peers)
{
    platform_store store;
    instance helper{store};
    BOOST_REQUIRE(helper.serve({"v1", "v2"}));
    instance cut{unreachable};
    cut.hand_over_to(helper);
    BOOST_REQUIRE(cut.serve({"v1", "v2"}));
    store.set_fault(platform_store::fault::unavailable);
    helper.begin("own", "v1");
    BOOST_REQUIRE(eventually([&] { return helper.counts().failed_calls > 0; }));
    cut.begin("r1", "v2");
    BOOST_TEST(eventually([&] { return cut.counts().handed_over >= 2; }));
    BOOST_TEST(!helper.holds("r1"));
    store.set_fault(platform_store::fault::none);
    BOOST_TEST(eventually([&] { return cut.is_stored("r1"); })); // handed over again
}

BOOST_AUTO_TEST_SUITE_END()
