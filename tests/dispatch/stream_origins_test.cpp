#include "hibiscusfall/dispatch/stream_origins.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using dispatch::stream_origins;

namespace
{

constexpr core::instant start{1h};
const core::service_id service{"s1"};
const core::service_id other_service{"s2"};

dispatch::stream_origin origin(dispatch::stream_tag stream,
                               const std::string& version = "v1",
                               core::duration lasts = 15s,
                               const core::service_id& of = service)
{
    return {.stream = stream, .service = of, .version = version, .expires = start + lasts};
}

catalog::endpoint endpoint(const std::string& id, const std::string& version, const core::service_id& of)
{
    return {.id = core::endpoint_id{id},
            .service = of,
            .address = {.host = "10.0.0.9", .port = 1},
            .domain = core::failure_domain_id{"north"},
            .start_time_ms = 1790000000123,
            .software_version = version};
}

/// A list with one endpoint for each version of each service.
catalog::endpoint_list list(const std::vector<std::string>& versions,
                            const std::vector<std::string>& of_other = {})
{
    catalog::endpoint_list result;
    for (const auto& each : versions) {
        result.entries["servers/a" + each] = endpoint("a" + each, each, service);
    }
    for (const auto& each : of_other) {
        result.entries["servers/b" + each] = endpoint("b" + each, each, other_service);
    }
    return result;
}

std::vector<dispatch::stream_tag> tags(const std::vector<dispatch::stream_origin>& batch)
{
    std::vector<dispatch::stream_tag> result;
    std::transform(
        batch.begin(), batch.end(), std::back_inserter(result), [](const auto& each) { return each.stream; });
    return result;
}

using tag_list = std::vector<dispatch::stream_tag>;

} // namespace

BOOST_AUTO_TEST_SUITE(stream_origins_test)

BOOST_AUTO_TEST_CASE(an_origin_is_known_until_its_deadline_and_not_kept_for_long_after_it)
{
    stream_origins origins;
    dispatch::record_origin(origins, origin(1, "v1", 15s), start);
    dispatch::record_origin(origins, origin(2, "v2", 5s), start);
    BOOST_TEST(dispatch::find_origin(origins, 1, start + 14s)->version == "v1");
    BOOST_TEST(dispatch::find_origin(origins, 2, start + 4s)->version == "v2");
    BOOST_TEST((dispatch::find_origin(origins, 2, start + 5s) == nullptr));
    BOOST_TEST((dispatch::find_origin(origins, 1, start + 15s) == nullptr));
    BOOST_TEST((dispatch::find_origin(origins, 3, start) == nullptr));
    dispatch::record_origin(origins, origin(3, "v1", 40s), start + 20s);
    BOOST_TEST(origins.known.size() == 1U);
    BOOST_TEST(origins.expiries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_origin_whose_deadline_has_passed_is_not_recorded)
{
    stream_origins origins;
    dispatch::record_origin(origins, origin(1, "v1", 0s), start);
    BOOST_TEST(origins.known.empty());
    BOOST_TEST(origins.unstored.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_moves_before_its_first_event_is_not_known_at_its_first_version)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    dispatch::record_origin(origins, origin(1, "v1"), start);
    const auto first = dispatch::take_unstored(origins, 8, start);
    dispatch::record_origin(origins, origin(1, "v2", 30s), start + 1s);
    dispatch::mark_stored(origins, first); // the store has the version before
    BOOST_TEST(dispatch::find_origin(origins, 1, start + 2s)->version == "v2");
    BOOST_TEST(!dispatch::find_origin(origins, 1, start + 2s)->stored);
    const auto second = dispatch::take_unstored(origins, 8, start + 2s);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second.front().version == "v2");
    dispatch::mark_stored(origins, second);
    BOOST_TEST(dispatch::find_origin(origins, 1, start + 2s)->stored);
    BOOST_TEST(dispatch::take_unstored(origins, 8, start + 2s).empty());
    BOOST_TEST((dispatch::find_origin(origins, 1, start + 15s) == nullptr));
}

BOOST_AUTO_TEST_CASE(the_memory_of_streams_is_bounded_and_the_newest_are_kept)
{
    stream_origins origins;
    constexpr auto most = stream_origins::max_streams;
    for (dispatch::stream_tag i = 0; i < 2 * most; ++i) {
        dispatch::record_origin(origins, origin(i), start);
    }
    BOOST_TEST(origins.known.size() == most);
    BOOST_TEST(origins.expiries.size() == most);
    BOOST_TEST(origins.unstored.size() <= most);
    BOOST_TEST((dispatch::find_origin(origins, most - 1, start) == nullptr));
    BOOST_TEST((dispatch::find_origin(origins, most, start) != nullptr));
    BOOST_TEST((dispatch::find_origin(origins, 2 * most - 1, start) != nullptr));
    dispatch::forget_stored(origins);
    BOOST_TEST(origins.unstored.size() == most);
}

BOOST_AUTO_TEST_CASE(memory_never_exceeds_its_bound_nor_gives_an_expired_or_changed_origin)
{
    BOOST_TEST(rc::check("what is found was recorded last and has not expired", [] {
        stream_origins origins;
        (void)dispatch::update_versions(origins, list({"v1", "v2"}));
        std::map<dispatch::stream_tag, std::string> last;
        auto now = start;
        for (int i = 0; i < 300; ++i) {
            now += std::chrono::milliseconds{*rc::gen::inRange(0, 2000)};
            const auto stream = *rc::gen::inRange<dispatch::stream_tag>(0, 40);
            const auto* known = dispatch::find_origin(origins, stream, now);
            if (known != nullptr) {
                RC_ASSERT(known->expires > now);
                RC_ASSERT(known->version == last.at(stream));
            }
            const dispatch::stream_origin next{.stream = stream,
                                               .service = service,
                                               .version = *rc::gen::element<std::string>("v1", "v2"),
                                               .expires =
                                                   now + std::chrono::seconds{*rc::gen::inRange(-1, 20)}};
            dispatch::record_origin(origins, next, now);
            if (next.expires > now) {
                last[stream] = next.version;
            }
            for (const auto& each : dispatch::take_unstored(origins, 3, now)) {
                RC_ASSERT(each.expires > now);
                RC_ASSERT(each.version == last.at(each.stream));
            }
            RC_ASSERT(origins.known.size() == origins.expiries.size());
            RC_ASSERT(std::is_sorted(origins.expiries.begin(),
                                     origins.expiries.end(),
                                     [](const auto& a, const auto& b) { return a.first < b.first; }));
        }
    }));
}

BOOST_AUTO_TEST_CASE(of_two_records_of_a_stream_the_one_with_more_moves_holds)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    dispatch::record_origin(origins, origin(1, "v1"), start);
    dispatch::record_origin(origins, origin(1, "v2"), start);
    using record = dispatch::stored_origin;
    // Nothing stands in the store, or the record from before the move, or an unreadable one.
    BOOST_TEST(dispatch::reconcile(origins, 1, std::nullopt));
    BOOST_TEST(dispatch::reconcile(origins, 1, record{.version = "v1", .moves = 0, .revision = 7}));
    BOOST_TEST(origins.known.at(1).revision == 7U);
    BOOST_TEST(dispatch::reconcile(origins, 1, record{.version = "", .moves = 1, .revision = 8}));
    BOOST_TEST(!origins.known.at(1).stored);
    // The own write was carried out, though its response was lost.
    BOOST_TEST(!dispatch::reconcile(origins, 1, record{.version = "v2", .moves = 1, .revision = 9}));
    BOOST_TEST(origins.known.at(1).stored);
    BOOST_TEST(origins.known.at(1).revision == 9U);
    // Another instance knows of a further move.
    BOOST_TEST(!dispatch::reconcile(origins, 1, record{.version = "v1", .moves = 2, .revision = 11}));
    BOOST_TEST(dispatch::find_origin(origins, 1, start)->version == "v1");
    BOOST_TEST(!dispatch::reconcile(origins, 2, std::nullopt)); // has expired meanwhile
}

BOOST_AUTO_TEST_CASE(the_next_write_of_a_stream_depends_on_the_last_known_record)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    dispatch::record_origin(origins, origin(1, "v1"), start);
    const auto first = dispatch::take_unstored(origins, 8, start);
    BOOST_TEST(first.front().revision == 0U);
    dispatch::record_origin(origins, origin(1, "v2"), start); // while the batch is written
    dispatch::record_revision(origins, first, 12);
    dispatch::mark_stored(origins, first);
    const auto second = dispatch::take_unstored(origins, 8, start);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second.front().revision == 12U);
    BOOST_TEST(second.front().moves == 1U);
    dispatch::forget_stored(origins);
    BOOST_TEST(dispatch::take_unstored(origins, 8, start).front().revision == 0U);
}

// Only then does the first event have to wait for the record of the version that the request moved to.
BOOST_AUTO_TEST_CASE(an_earlier_version_may_be_in_the_store_only_if_it_was_offered)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    dispatch::record_origin(origins, origin(1, "v1"), start);
    dispatch::record_origin(origins, origin(2, "v1"), start);
    BOOST_TEST(dispatch::take_unstored(origins, 1, start).size() == 1U);
    dispatch::record_origin(origins, origin(1, "v2"), start);
    dispatch::record_origin(origins, origin(2, "v2"), start);
    BOOST_TEST(origins.known.at(1).superseded);
    BOOST_TEST(!origins.known.at(2).superseded);
    dispatch::record_origin(origins, origin(1, "v1"), start); // moves again before the next batch
    BOOST_TEST(origins.known.at(1).superseded);
}

BOOST_AUTO_TEST_CASE(only_streams_of_mixed_services_are_taken_and_others_wait)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}, {"v1"}));
    dispatch::record_origin(origins, origin(1, "v1", 15s, other_service), start);
    dispatch::record_origin(origins, origin(2), start);
    dispatch::record_origin(origins, origin(3, "v1", 15s, other_service), start);
    dispatch::record_origin(origins, origin(4, "v2"), start);
    dispatch::record_origin(origins, origin(5), start);
    BOOST_TEST(tags(dispatch::take_unstored(origins, 2, start)) == (tag_list{2, 4}),
               boost::test_tools::per_element());
    BOOST_TEST(tags(dispatch::take_unstored(origins, 2, start)) == (tag_list{5}),
               boost::test_tools::per_element());
    BOOST_TEST(dispatch::take_unstored(origins, 2, start).empty());
    (void)dispatch::update_versions(origins, list({"v1", "v2"}, {"v1", "v2"}));
    BOOST_TEST(tags(dispatch::take_unstored(origins, 32, start)) == (tag_list{1, 3}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(streams_that_have_ended_are_not_taken)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    dispatch::record_origin(origins, origin(1, "v1", 2s), start);
    dispatch::record_origin(origins, origin(2, "v1", 9s), start);
    BOOST_TEST(tags(dispatch::take_unstored(origins, 32, start + 3s)) == (tag_list{2}),
               boost::test_tools::per_element());
    BOOST_TEST(origins.unstored.empty());
}

BOOST_AUTO_TEST_CASE(a_batch_that_was_not_stored_is_taken_first_and_in_order)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    for (dispatch::stream_tag i = 1; i <= 4; ++i) {
        dispatch::record_origin(origins, origin(i), start);
    }
    const auto batch = dispatch::take_unstored(origins, 2, start);
    dispatch::record_origin(origins, origin(5), start);
    dispatch::return_unstored(origins, batch);
    BOOST_TEST(tags(dispatch::take_unstored(origins, 32, start)) == (tag_list{1, 2, 3, 4, 5}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(after_a_loss_of_the_store_all_known_origins_are_taken_again)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    for (dispatch::stream_tag i = 1; i <= 3; ++i) {
        dispatch::record_origin(origins, origin(i), start);
    }
    BOOST_TEST(dispatch::take_unstored(origins, 2, start).size() == 2U);
    dispatch::forget_stored(origins);
    BOOST_TEST(tags(dispatch::take_unstored(origins, 32, start)) == (tag_list{1, 2, 3}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_origin_that_is_returned_after_a_loss_is_not_taken_twice_in_one_batch)
{
    stream_origins origins;
    (void)dispatch::update_versions(origins, list({"v1", "v2"}));
    for (dispatch::stream_tag i = 1; i <= 3; ++i) {
        dispatch::record_origin(origins, origin(i), start);
    }
    const auto batch = dispatch::take_unstored(origins, 2, start);
    dispatch::forget_stored(origins);
    dispatch::return_unstored(origins, batch);
    BOOST_TEST(tags(dispatch::take_unstored(origins, 32, start)) == (tag_list{1, 2, 3}),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_service_is_mixed_when_the_list_or_the_store_names_another_version)
{
    stream_origins origins;
    BOOST_TEST(!dispatch::is_mixed(origins, service));
    (void)dispatch::update_versions(origins, list({"v1"}, {"v1", "v2"}));
    BOOST_TEST(!dispatch::is_mixed(origins, service));
    BOOST_TEST(dispatch::is_mixed(origins, other_service));
    dispatch::record_registered(origins, service, {"v1"});
    BOOST_TEST(!dispatch::is_mixed(origins, service));
    dispatch::record_registered(origins, service, {"v1", "v2"});
    BOOST_TEST(dispatch::is_mixed(origins, service));
    dispatch::record_registered(origins, service, {"v2"}); // and v1 is listed
    BOOST_TEST(dispatch::is_mixed(origins, service));
    (void)dispatch::update_versions(origins, list({"v2"}));
    BOOST_TEST(!dispatch::is_mixed(origins, service));
    (void)dispatch::update_versions(origins, list({}));
    BOOST_TEST(!dispatch::is_mixed(origins, service));
}

BOOST_AUTO_TEST_CASE(streams_begin_only_at_registered_versions_unless_the_store_cannot_be_reached)
{
    stream_origins origins;
    BOOST_TEST(!dispatch::may_begin(origins, service, "v1"));
    const auto unregistered = dispatch::update_versions(origins, list({"v1", "v2"}, {"v1"}));
    BOOST_TEST((unregistered == std::vector<core::service_id>{service, other_service}));
    BOOST_TEST(!dispatch::may_begin(origins, service, "v1"));
    dispatch::record_registered(origins, service, {"v1"});
    BOOST_TEST(dispatch::may_begin(origins, service, "v1"));
    BOOST_TEST(!dispatch::may_begin(origins, service, "v2"));
    BOOST_TEST(!dispatch::may_begin(origins, other_service, "v1"));
    origins.services.at(service).use_unregistered = true;
    BOOST_TEST(dispatch::may_begin(origins, service, "v2"));
    dispatch::record_registered(origins, service, {"v2", "v1"});
    BOOST_TEST(!origins.services.at(service).use_unregistered);
    dispatch::record_registered(origins, other_service, {"v1"});
    BOOST_TEST(dispatch::update_versions(origins, list({"v1", "v2"}, {"v1"})).empty());
    // Of a version that has left streams may still go on: it stays registered.
    BOOST_TEST(dispatch::update_versions(origins, list({"v2"})).empty());
    BOOST_TEST(dispatch::may_begin(origins, other_service, "v1"));
    BOOST_TEST(origins.services.size() == 2U);
}

BOOST_AUTO_TEST_CASE(entries_without_a_version_are_never_taken_for_the_same_version)
{
    const auto one = endpoint("i-1", "", service);
    const auto other = endpoint("i-2", "", service);
    auto restarted = one;
    ++restarted.start_time_ms;
    const std::set<std::string> versions{dispatch::software_version(one),
                                         dispatch::software_version(other),
                                         dispatch::software_version(restarted),
                                         dispatch::software_version(endpoint("i-3", "v1", service))};
    BOOST_TEST(versions.size() == 4U);
    BOOST_TEST(dispatch::software_version(one) == dispatch::software_version(endpoint("i-1", "", service)));
    BOOST_TEST(dispatch::software_version(endpoint("i-1", "v1", service)) ==
               dispatch::software_version(endpoint("i-2", "v1", service)));
    // No version that an entry can state equals such a name: versions have no spaces.
    BOOST_TEST((dispatch::software_version(one).find(' ') != std::string::npos));
    stream_origins origins;
    catalog::endpoint_list entries;
    entries.entries["servers/i-1"] = one;
    entries.entries["servers/i-2"] = other;
    (void)dispatch::update_versions(origins, entries);
    BOOST_TEST(dispatch::is_mixed(origins, service));
}

BOOST_AUTO_TEST_CASE(streams_of_other_teams_services_and_ids_have_other_tags)
{
    std::set<dispatch::stream_tag> seen;
    for (const dispatch::team_tag team : {0U, 1U, 2U}) {
        for (const auto* of : {"s1", "s2", ""}) {
            for (const auto* id : {"a", "b", ""}) {
                seen.insert(dispatch::tag_of_stream(team, core::service_id{of}, id));
            }
        }
    }
    BOOST_TEST(seen.size() == 27U);
    BOOST_TEST(dispatch::tag_of_stream(1, service, "a") == dispatch::tag_of_stream(1, service, "a"));
}

BOOST_AUTO_TEST_SUITE_END()
