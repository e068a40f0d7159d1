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
constexpr core::duration settled = 6s;

entry_change entry(const std::string& key, bool draining = false, std::int64_t start_time_ms = 100)
{
    return {.key = key,
            .value = endpoint{.id = core::endpoint_id{key},
                              .service = core::service_id{"draft"},
                              .address = {.host = "10.0.0.1", .port = 80},
                              .domain = core::failure_domain_id{"north"},
                              .draining = draining,
                              .start_time_ms = start_time_ms}};
}

entry_change removed_entry(const std::string& key)
{
    return {.key = key, .value = {}, .removed = true};
}

/// The list of an instance that knew these entries before the store was restored.
catalog::endpoint_list known_list(const std::vector<entry_change>& entries)
{
    catalog::endpoint_list list;
    catalog::apply_snapshot(list, entries, {.era = 1, .revision = 18}, no_outage, start - 1min);
    return list;
}

bool pass_time(catalog::endpoint_list& list, core::instant now)
{
    return catalog::apply_deadlines(list, now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(restoration_test)

BOOST_AUTO_TEST_CASE(a_listing_of_a_later_era_is_applied_although_its_revision_is_lower)
{
    auto list = known_list({entry("a")});
    BOOST_TEST(
        catalog::apply_snapshot(list, {entry("a"), entry("b")}, {.era = 2, .revision = 3}, no_outage, start));
    BOOST_TEST(list.entries.size() == 2U);
    BOOST_TEST(
        !catalog::apply_changes(list, {removed_entry("b")}, {.era = 1, .revision = 30}, no_outage, start));
    BOOST_TEST(list.entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_drains_stays_draining_when_the_copy_shows_it_ready)
{
    auto list = known_list({entry("a", true)});
    catalog::apply_snapshot(list, {entry("a")}, {.era = 2, .revision = 3}, no_outage, start);
    BOOST_TEST(list.entries.at("a").draining);
    catalog::apply_changes(list, {entry("a")}, {.era = 2, .revision = 4}, no_outage, start + 2s);
    BOOST_TEST(list.entries.at("a").draining);
    catalog::apply_changes(list, {removed_entry("a")}, {.era = 2, .revision = 5}, no_outage, start + 4s);
    BOOST_TEST(list.entries.empty());
    pass_time(list, start + settled);
    BOOST_TEST(list.entries.empty());
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_has_left_does_not_come_back_with_the_copy)
{
    auto list = known_list({entry("a"), entry("b")});
    catalog::apply_changes(list, {removed_entry("a")}, {.era = 1, .revision = 19}, no_outage, start - 5s);
    catalog::apply_snapshot(list, {entry("a"), entry("b")}, {.era = 2, .revision = 3}, no_outage, start);
    BOOST_TEST(!list.entries.contains("a"));
    BOOST_TEST(list.entries.contains("b"));
    catalog::apply_changes(list, {removed_entry("a")}, {.era = 2, .revision = 4}, no_outage, start + 4s);
    BOOST_TEST(!pass_time(list, start + settled));
    BOOST_TEST(!list.entries.contains("a"));
}

BOOST_AUTO_TEST_CASE(after_the_settling_period_the_word_of_the_store_holds)
{
    auto list = known_list({entry("a", true), entry("b")});
    catalog::apply_changes(list, {removed_entry("b")}, {.era = 1, .revision = 19}, no_outage, start - 5s);
    catalog::apply_snapshot(list, {entry("a"), entry("b")}, {.era = 2, .revision = 3}, no_outage, start);
    BOOST_TEST(!pass_time(list, start + 5s));
    BOOST_TEST(list.entries.at("a").draining);
    BOOST_TEST(pass_time(list, start + settled));
    BOOST_TEST(!list.entries.at("a").draining);
    BOOST_TEST(list.entries.contains("b"));
    BOOST_TEST(!pass_time(list, start + settled + 1s));
}

BOOST_AUTO_TEST_CASE(an_entry_that_the_copy_lacks_is_kept_until_it_has_to_be_back)
{
    auto list = known_list({entry("a"), entry("b"), entry("c", true)});
    catalog::apply_snapshot(list, {}, {.era = 2, .revision = 3}, no_outage, start);
    BOOST_TEST(list.entries.contains("a"));
    BOOST_TEST(list.entries.contains("b"));
    BOOST_TEST(!list.entries.contains("c"));
    catalog::apply_changes(list, {entry("a")}, {.era = 2, .revision = 4}, no_outage, start + 1500ms);
    BOOST_TEST(pass_time(list, start + 2500ms));
    BOOST_TEST(list.entries.contains("a"));
    BOOST_TEST(!list.entries.contains("b"));
}

BOOST_AUTO_TEST_CASE(peers_learn_of_changes_while_entries_that_the_copy_lacks_are_kept)
{
    auto list = known_list({entry("a")});
    catalog::apply_snapshot(list, {}, {.era = 2, .revision = 3}, no_outage, start);
    BOOST_CHECK(catalog::confirmed_position(list) == (catalog::store_position{.era = 2, .revision = 3}));
    catalog::apply_changes(list, {entry("b")}, {.era = 2, .revision = 4}, no_outage, start + 1s);
    BOOST_CHECK(catalog::confirmed_position(list) == (catalog::store_position{.era = 2, .revision = 4}));
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_started_again_is_used_at_once)
{
    auto list = known_list({entry("a", true), entry("b")});
    catalog::apply_changes(list, {removed_entry("b")}, {.era = 1, .revision = 19}, no_outage, start - 5s);
    catalog::apply_snapshot(
        list, {entry("a", false, 200), entry("b", false, 200)}, {.era = 2, .revision = 3}, no_outage, start);
    BOOST_TEST(!list.entries.at("a").draining);
    BOOST_TEST(list.entries.at("b").start_time_ms == 200);
}

BOOST_AUTO_TEST_CASE(the_copy_does_not_bring_back_an_earlier_start)
{
    auto list = known_list({entry("a", false, 200)});
    catalog::apply_snapshot(list, {entry("a", false, 100)}, {.era = 2, .revision = 3}, no_outage, start);
    BOOST_TEST(list.entries.at("a").start_time_ms == 200);
    catalog::apply_changes(list, {entry("a", false, 200)}, {.era = 2, .revision = 4}, no_outage, start + 1s);
    pass_time(list, start + settled);
    BOOST_TEST(list.entries.at("a").start_time_ms == 200);
}

BOOST_AUTO_TEST_CASE(two_restorations_in_a_row_undo_nothing)
{
    auto list = known_list({entry("a", true), entry("b")});
    catalog::apply_changes(list, {removed_entry("b")}, {.era = 1, .revision = 19}, no_outage, start - 5s);
    catalog::apply_snapshot(list, {entry("a"), entry("b")}, {.era = 2, .revision = 3}, no_outage, start);
    catalog::apply_snapshot(list, {entry("a"), entry("b")}, {.era = 3, .revision = 2}, no_outage, start + 5s);
    pass_time(list, start + settled);
    BOOST_TEST(list.entries.at("a").draining);
    BOOST_TEST(!list.entries.contains("b"));
}

BOOST_AUTO_TEST_CASE(a_second_restoration_does_not_drop_an_endpoint_before_it_can_be_back)
{
    auto list = known_list({entry("a"), entry("b")});
    catalog::apply_snapshot(list, {entry("b")}, {.era = 2, .revision = 3}, no_outage, start);
    catalog::begin_era(list, 3, start + 2s);
    BOOST_TEST(!pass_time(list, start + 2300ms));
    BOOST_TEST(list.entries.contains("a"));
    catalog::apply_changes(list, {entry("a")}, {.era = 3, .revision = 4}, no_outage, start + 3s);
    pass_time(list, start + 3s + settled);
    BOOST_TEST(list.entries.size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_instance_that_was_cut_off_over_two_eras_keeps_what_it_knew)
{
    auto list = known_list({entry("a", true), entry("b")});
    catalog::apply_snapshot(list, {entry("a")}, {.era = 3, .revision = 2}, no_outage, start);
    BOOST_TEST(list.entries.at("a").draining);
    BOOST_TEST(list.entries.contains("b"));
}

BOOST_AUTO_TEST_CASE(a_list_of_a_new_instance_does_not_undo_what_others_withhold)
{
    auto list = known_list({entry("a", true), entry("b")});
    catalog::apply_changes(list, {removed_entry("b")}, {.era = 1, .revision = 19}, no_outage, start - 5s);
    catalog::apply_snapshot(list, {entry("a")}, {.era = 2, .revision = 3}, no_outage, start);
    catalog::endpoint_list newcomer;
    catalog::apply_snapshot(
        newcomer, {entry("a"), entry("b")}, {.era = 2, .revision = 5}, no_outage, start + 1s);
    BOOST_TEST(newcomer.entries.size() == 2U);
    std::vector<entry_change> of_newcomer;
    for (const auto& [key, value] : newcomer.entries) {
        of_newcomer.push_back({.key = key, .value = value});
    }
    // A copy of a peer is applied without an outage.
    catalog::apply_snapshot(list, of_newcomer, newcomer.position, start + 1s, start + 1s);
    BOOST_TEST(list.entries.at("a").draining);
    BOOST_TEST(!list.entries.contains("b"));
}

BOOST_AUTO_TEST_CASE(an_era_that_is_first_confirmed_by_a_peer_protects_as_well)
{
    auto list = known_list({entry("a", true), entry("b")});
    catalog::confirm(list, {.era = 2, .revision = 3}, start);
    catalog::apply_snapshot(list, {entry("a")}, {.era = 2, .revision = 4}, no_outage, start + 1s);
    BOOST_TEST(list.entries.at("a").draining);
    BOOST_TEST(list.entries.contains("b"));
}

BOOST_AUTO_TEST_CASE(the_first_era_of_a_new_instance_withholds_nothing)
{
    catalog::endpoint_list list;
    catalog::begin_era(list, 7, start);
    catalog::apply_snapshot(list, {entry("a")}, {.era = 7, .revision = 3}, no_outage, start);
    catalog::apply_changes(list, {removed_entry("a")}, {.era = 7, .revision = 4}, no_outage, start + 1s);
    BOOST_TEST(list.entries.empty());
}

BOOST_AUTO_TEST_CASE(removals_are_remembered_for_a_bounded_time_and_number)
{
    catalog::endpoint_list list;
    std::uint64_t revision = 0;
    for (int i = 0; i < 5000; ++i) {
        const auto key = "e-" + std::to_string(i);
        catalog::apply_changes(list, {entry(key)}, {.era = 1, .revision = ++revision}, no_outage, start);
        catalog::apply_changes(
            list, {removed_entry(key)}, {.era = 1, .revision = ++revision}, no_outage, start);
    }
    BOOST_TEST(list.recent_removals.size() <= catalog::max_recent_removals);
    catalog::apply_snapshot(
        list, {entry("e-4999")}, {.era = 2, .revision = 3}, no_outage, start + catalog::max_copy_age + 1s);
    BOOST_TEST(list.entries.contains("e-4999"));
}

BOOST_AUTO_TEST_SUITE_END()
