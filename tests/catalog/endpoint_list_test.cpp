#include "hibiscusfall/catalog/endpoint_list.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using catalog::endpoint;
using catalog::entry_change;

namespace
{

constexpr core::instant start{1h};
constexpr core::instant no_outage{}; ///< Removal deadline in the past: there was no recent outage.

entry_change entry(const std::string& key, bool draining = false)
{
    return {.key = key,
            .value = endpoint{.id = core::endpoint_id{key},
                              .service = core::service_id{"draft"},
                              .address = {.host = "10.0.0.1", .port = 80},
                              .domain = core::failure_domain_id{"north"},
                              .draining = draining}};
}

entry_change removed_entry(const std::string& key)
{
    return {.key = key, .value = {}, .removed = true};
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_list_test)

BOOST_AUTO_TEST_CASE(an_entry_that_is_written_anew_without_a_change_changes_nothing)
{
    catalog::endpoint_list list;
    BOOST_TEST(catalog::apply_changes(list, {entry("a")}, {.revision = 1}, no_outage, start));
    BOOST_TEST(!catalog::apply_changes(list, {entry("a")}, {.revision = 2}, no_outage, start));
    BOOST_TEST(list.position.revision == 2U);
}

BOOST_AUTO_TEST_CASE(an_older_reading_changes_nothing)
{
    catalog::endpoint_list list;
    catalog::apply_changes(list, {entry("a", true)}, {.revision = 5}, no_outage, start);
    BOOST_TEST(!catalog::apply_changes(list, {entry("a", false)}, {.revision = 4}, no_outage, start));
    BOOST_TEST(list.entries.at("a").draining);
}

BOOST_AUTO_TEST_CASE(an_entry_that_vanishes_while_the_store_is_calm_is_gone_at_once)
{
    catalog::endpoint_list list;
    catalog::apply_changes(list, {entry("a")}, {.revision = 1}, no_outage, start);
    BOOST_TEST(catalog::apply_changes(list, {removed_entry("a")}, {.revision = 2}, no_outage, start));
    BOOST_TEST(list.entries.empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_vanishes_during_trouble_is_kept_until_it_must_be_back)
{
    catalog::endpoint_list list;
    catalog::apply_changes(list, {entry("a"), entry("b")}, {.revision = 1}, no_outage, start);
    catalog::apply_snapshot(list, {entry("b")}, {.revision = 9}, start + 2200ms, start);
    BOOST_TEST(list.entries.size() == 2U);
    BOOST_TEST(!catalog::apply_deadlines(list, start + 2s));
    BOOST_TEST(catalog::apply_deadlines(list, start + 2300ms));
    BOOST_TEST(list.entries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_comes_back_in_time_stays)
{
    catalog::endpoint_list list;
    catalog::apply_changes(list, {entry("a")}, {.revision = 1}, no_outage, start);
    catalog::apply_changes(list, {removed_entry("a")}, {.revision = 2}, start + 2200ms, start);
    catalog::apply_changes(list, {entry("a")}, {.revision = 3}, start + 2200ms, start + 1s);
    BOOST_TEST(!catalog::apply_deadlines(list, start + 10s));
    BOOST_TEST(list.entries.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_was_draining_is_not_expected_back)
{
    catalog::endpoint_list list;
    catalog::apply_changes(list, {entry("a", true)}, {.revision = 1}, no_outage, start);
    BOOST_TEST(catalog::apply_changes(list, {removed_entry("a")}, {.revision = 2}, start + 2200ms, start));
    BOOST_TEST(list.entries.empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_becomes_unreadable_names_no_endpoint)
{
    catalog::endpoint_list list;
    catalog::apply_changes(list, {entry("a")}, {.revision = 1}, no_outage, start);
    BOOST_TEST(catalog::apply_changes(
        list, {{.key = "a", .value = {}, .removed = false}}, {.revision = 2}, start + 2200ms, start));
    BOOST_TEST(list.entries.empty());
}

BOOST_AUTO_TEST_CASE(
    an_entry_that_vanishes_late_after_an_outage_is_kept_only_until_the_others_have_to_be_back)
{
    catalog::endpoint_list list;
    catalog::apply_changes(list, {entry("a")}, {.revision = 1}, no_outage, start);
    catalog::apply_changes(list, {removed_entry("a")}, {.revision = 2}, start + 300ms, start);
    BOOST_TEST(!catalog::apply_deadlines(list, start + 200ms));
    BOOST_TEST(catalog::apply_deadlines(list, start + 300ms));
}

BOOST_AUTO_TEST_CASE(a_list_with_lapsing_entries_is_older_than_that_of_a_peer_that_dropped_them)
{
    catalog::endpoint_list list;
    catalog::apply_changes(list, {entry("a"), entry("b")}, {.revision = 34}, no_outage, start);
    catalog::apply_changes(list, {removed_entry("a")}, {.revision = 35}, start + 2s, start);
    catalog::apply_changes(list, {entry("b")}, {.revision = 36}, start + 2s, start);
    BOOST_TEST(list.position.revision == 36U);
    BOOST_TEST(catalog::confirmed_position(list).revision == 34U);
    catalog::apply_changes(list, {entry("a")}, {.revision = 37}, start + 2s, start + 1s);
    BOOST_TEST(catalog::confirmed_position(list).revision == 37U);
}

BOOST_AUTO_TEST_CASE(after_the_last_lapsing_entry_is_dropped_the_list_is_as_new_as_the_store)
{
    catalog::endpoint_list list;
    catalog::apply_changes(list, {entry("a")}, {.revision = 34}, no_outage, start);
    catalog::apply_changes(list, {removed_entry("a")}, {.revision = 35}, start + 2s, start);
    BOOST_TEST(catalog::apply_deadlines(list, start + 2s));
    BOOST_TEST(catalog::confirmed_position(list).revision == 35U);
}

BOOST_AUTO_TEST_SUITE_END()
