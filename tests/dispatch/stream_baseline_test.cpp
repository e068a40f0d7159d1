#include "hibiscusfall/dispatch/origin_handover.hpp"
#include "hibiscusfall/dispatch/record_need.hpp"
#include "hibiscusfall/dispatch/stream_origins.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using dispatch::baseline_state;
using dispatch::record_need;
using dispatch::stream_origins;

namespace
{

constexpr core::instant start{1h};
const core::service_id service{"s1"};

catalog::endpoint_list list(const std::vector<std::string>& versions,
                            const std::vector<std::string>& draining = {})
{
    catalog::endpoint_list result;
    const auto add = [&](const std::string& version, bool drains) {
        result.entries["servers/" + version] = {.id = core::endpoint_id{version},
                                                .service = service,
                                                .address = {.host = "10.0.0.9", .port = 1},
                                                .domain = core::failure_domain_id{"north"},
                                                .draining = drains,
                                                .software_version = version};
    };
    for (const auto& each : versions) {
        add(each, false);
    }
    for (const auto& each : draining) {
        add(each, true);
    }
    return result;
}

dispatch::stream_origin
origin(const std::string& version, core::instant expires = start + 12s, dispatch::stream_tag stream = 1)
{
    return {.stream = stream, .service = service, .version = version, .expires = expires};
}

/// An instance that has served v1 and now learns that v2 was registered.
stream_origins after_join()
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    dispatch::record_registered(origins, service, {"v1"});
    dispatch::record_baseline(origins, service, "v1", start);
    dispatch::record_registered(origins, service, {"v1", "v2"});
    return origins;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_baseline_test)

BOOST_AUTO_TEST_CASE(streams_need_no_record_while_the_store_names_one_version)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1"}));
    dispatch::record_registered(origins, service, {"v1"});
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1")) == record_need::none));
    // A version that is listed has no streams before it is registered.
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1")) == record_need::none));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v2")) == record_need::required));
}

BOOST_AUTO_TEST_CASE(streams_of_other_versions_than_the_baseline_need_a_record)
{
    const auto origins = after_join();
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1")) == record_need::none));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v2")) == record_need::required));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v3")) == record_need::required));
    // The store may have the version of an earlier attempt.
    auto moved = origin("v1");
    moved.superseded = true;
    BOOST_TEST((dispatch::need_of_record(origins, moved) == record_need::required));
}

// Once the store has ended the baseline, a stream without a record would be refused elsewhere.
BOOST_AUTO_TEST_CASE(a_stream_that_may_outlast_the_baseline_is_recorded)
{
    auto origins = after_join();
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1", start + 13s)) == record_need::none));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1", start + 14s)) == record_need::later));
    dispatch::record_origin(origins, origin("v1", start + 13s, 1), start);
    dispatch::record_origin(origins, origin("v1", start + 14s, 2), start);
    dispatch::record_origin(origins, origin("v2", start + 13s, 3), start);
    const auto batch = dispatch::take_unstored(origins, 8, start);
    BOOST_REQUIRE(batch.size() == 2U);
    BOOST_TEST(batch[0].stream == 2U);
    BOOST_TEST(batch[1].stream == 3U);
    // The leases, and with them the baseline, have ended.
    dispatch::forget_stored(origins);
    BOOST_TEST(dispatch::take_unstored(origins, 8, start).size() == 3U);
}

// It cannot tell how long ago the version was registered.
BOOST_AUTO_TEST_CASE(the_baseline_covers_no_streams_of_an_instance_that_did_not_see_the_version_join)
{
    for (const auto& before : {std::vector<std::string>{}, {"v0"}, {"v1", "v0"}}) {
        stream_origins origins;
        (void)dispatch::update_versions(origins, list({"v1", "v2"}));
        dispatch::record_registered(origins, service, before);
        dispatch::record_baseline(origins, service, "v1", start);
        dispatch::record_registered(origins, service, {"v1", "v2"});
        BOOST_TEST((dispatch::need_of_record(origins, origin("v1")) == record_need::later));
        BOOST_TEST((dispatch::need_of_record(origins, origin("v2")) == record_need::required));
    }
}

BOOST_AUTO_TEST_CASE(without_a_baseline_no_record_is_waited_for_without_a_limit)
{
    auto origins = after_join();
    dispatch::record_baseline(origins, service, std::nullopt, start + 18s);
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1")) == record_need::wanted));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v2")) == record_need::wanted));
    BOOST_TEST(dispatch::is_baseline_absent(origins, service));
    BOOST_TEST(!dispatch::is_baseline_check_due(origins.services.at(service), start + 1h));
}

BOOST_AUTO_TEST_CASE(before_the_baseline_is_read_any_registered_version_may_be_the_one)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    dispatch::record_registered(origins, service, {"v1", "v2"});
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1")) == record_need::required));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v2")) == record_need::required));
    BOOST_TEST(dispatch::is_baseline_check_due(origins.services.at(service), start));
    // Nobody continues a stream at a version whose endpoints are leaving.
    (void)dispatch::update_versions(origins, list({"v2"}, {"v1"}));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v2")) == record_need::wanted));
}

// The lease may have paused while the store was away.
BOOST_AUTO_TEST_CASE(a_baseline_is_believed_until_the_store_is_seen_without_it)
{
    auto origins = after_join();
    const auto& versions = origins.services.at(service);
    BOOST_TEST(!dispatch::is_baseline_check_due(versions, start + 17s));
    BOOST_TEST(dispatch::is_baseline_check_due(versions, start + 18s));
    dispatch::record_baseline(origins, service, "v1", start + 18s);
    BOOST_TEST(!dispatch::is_baseline_check_due(versions, start + 22s));
    BOOST_TEST(dispatch::is_baseline_check_due(versions, start + 23s));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v2", start + 30s)) == record_need::required));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1", start + 30s)) == record_need::later));
}

BOOST_AUTO_TEST_CASE(a_baseline_ends_with_the_second_version_and_with_a_restoration)
{
    auto origins = after_join();
    dispatch::record_registered(origins, service, {"v2"});
    BOOST_TEST((origins.services.at(service).baseline.state == baseline_state::unread));
    dispatch::record_baseline(origins, service, "v2", start + 60s);
    dispatch::record_registered(origins, service, {"v2", "v3"});
    BOOST_TEST((dispatch::need_of_record(origins, origin("v2", start + 70s)) == record_need::none));
    dispatch::forget_baselines(origins);
    BOOST_TEST((origins.services.at(service).baseline.state == baseline_state::unread));
}

// An instance that did not see the store with one version in between would go on without a hold, while others
// conclude the new baseline.
BOOST_AUTO_TEST_CASE(the_baseline_is_read_again_if_a_version_may_have_left_and_returned_meanwhile)
{
    auto origins = after_join();
    const auto& versions = origins.services.at(service);
    dispatch::record_baseline(origins, service, std::nullopt, start + 18s);
    BOOST_TEST(dispatch::update_versions(origins, list({"v2"})).empty());
    BOOST_TEST(dispatch::is_baseline_absent(origins, service));
    const auto to_read = dispatch::update_versions(origins, list({"v1", "v2"}));
    BOOST_TEST((to_read == std::vector<core::service_id>{service}));
    BOOST_TEST(dispatch::is_baseline_check_due(versions, start + 18s));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1")) == record_need::required));
    dispatch::record_baseline(origins, service, "v2", start + 18s);
    BOOST_TEST((dispatch::need_of_record(origins, origin("v1", start + 20s)) == record_need::required));
    BOOST_TEST((dispatch::need_of_record(origins, origin("v2", start + 20s)) == record_need::later));
    // Known again from the set: of the versions before, one is gone.
    dispatch::record_baseline(origins, service, std::nullopt, start + 40s);
    dispatch::request_check_after_removal(origins, service, std::vector<std::string>{"v1", "v2", "v3"});
    BOOST_TEST(dispatch::is_baseline_absent(origins, service));
    dispatch::request_check_after_removal(origins, service, std::vector<std::string>{"v2", "v3"});
    BOOST_TEST(dispatch::is_baseline_check_due(versions, start + 40s));
    // A named one is only checked sooner: its streams are not held back for that.
    auto joined = after_join();
    dispatch::request_check_after_removal(joined, service, std::vector<std::string>{"v2"});
    BOOST_TEST(dispatch::is_baseline_check_due(joined.services.at(service), start));
    BOOST_TEST((dispatch::need_of_record(joined, origin("v1")) == record_need::none));
    dispatch::record_baseline(joined, service, "v2", start + 1s);
    BOOST_TEST((dispatch::need_of_record(joined, origin("v1")) == record_need::required));
}

BOOST_AUTO_TEST_CASE(while_records_cannot_be_written_other_versions_than_the_baseline_are_deprioritized)
{
    auto origins = after_join();
    BOOST_TEST(!dispatch::is_deprioritized(origins, service, "v2"));
    BOOST_TEST(!dispatch::waits_for_records(origins));
    origins.records_failing = true;
    BOOST_TEST(!dispatch::is_deprioritized(origins, service, "v1"));
    BOOST_TEST(dispatch::is_deprioritized(origins, service, "v2"));
    BOOST_TEST(dispatch::may_begin(origins, service, "v2")); // where no other endpoint is left
    BOOST_TEST(dispatch::waits_for_records(origins));
    // The baseline version has no endpoint that takes requests.
    (void)dispatch::update_versions(origins, list({"v2"}, {"v1"}));
    BOOST_TEST(!dispatch::is_deprioritized(origins, service, "v2"));
    BOOST_TEST(!dispatch::waits_for_records(origins));
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    dispatch::record_baseline(origins, service, std::nullopt, start);
    BOOST_TEST(!dispatch::is_deprioritized(origins, service, "v2"));
    BOOST_TEST(!dispatch::waits_for_records(origins));
}

// Of a service with one registered version others conclude this version, without a look at records.
BOOST_AUTO_TEST_CASE(an_unregistered_version_is_used_last_and_its_streams_are_not_known_by_a_record_alone)
{
    stream_origins origins;
    dispatch::record_registered(origins, service, {"v1"});
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    origins.services.at(service).use_unregistered = true;
    BOOST_TEST(!dispatch::is_deprioritized(origins, service, "v1"));
    BOOST_TEST(dispatch::is_deprioritized(origins, service, "v2"));
    BOOST_TEST(!dispatch::waits_for_records(origins)); // but for its registration
    auto stream = origin("v2");
    BOOST_TEST((dispatch::need_of_record(origins, stream) == record_need::required));
    stream.stored = true;
    BOOST_TEST(!dispatch::is_known_elsewhere(origins, stream));
    dispatch::record_registered(origins, service, {"v1", "v2"});
    BOOST_TEST(dispatch::is_known_elsewhere(origins, stream));
    stream.stored = false;
    BOOST_TEST(!dispatch::is_known_elsewhere(origins, stream));
    // It alone has endpoints that take requests.
    dispatch::record_registered(origins, service, {"v1"});
    (void)dispatch::update_versions(origins, list({"v2"}, {"v1"}));
    BOOST_TEST(!dispatch::is_deprioritized(origins, service, "v2"));
    BOOST_TEST((dispatch::need_of_record(origins, stream) == record_need::wanted));
}

BOOST_AUTO_TEST_CASE(what_the_baseline_covers_is_not_handed_to_peers)
{
    auto origins = after_join();
    dispatch::record_origin(origins, origin("v1", start + 12s, 1), start);
    dispatch::record_origin(origins, origin("v2", start + 12s, 2), start);
    dispatch::origin_handover handover{.needed = true};
    const auto due = dispatch::take_due(handover, origins, 8, start);
    BOOST_REQUIRE(due.size() == 1U);
    BOOST_TEST(due.front().stream == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
