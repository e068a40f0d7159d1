#include "hibiscusfall/peers/store_readers.hpp"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using peers::reader_candidate;

namespace
{

constexpr core::instant start{1h};

/// Number of instances that read the store if each one knows all others as given.
std::uint32_t count_readers(const std::vector<reader_candidate>& fleet, core::instant now)
{
    std::uint32_t count = 0;
    for (const auto& own : fleet) {
        std::vector<reader_candidate> others;
        for (const auto& each : fleet) {
            if (each.name != own.name) {
                others.push_back(each);
            }
        }
        count += peers::should_read_store(own.name, others, now) ? 1U : 0U;
    }
    return count;
}

std::vector<std::string> make_names(int count)
{
    std::vector<std::string> result;
    for (int i = 0; i < count; ++i) {
        result.push_back("entry-" + std::to_string(i));
    }
    return result;
}

std::vector<reader_candidate> make_fleet(const std::vector<std::string>& instance_names)
{
    std::vector<reader_candidate> fleet;
    for (const auto& name : instance_names) {
        fleet.push_back({.name = name, .last_heard = start});
    }
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_readers_test)

BOOST_AUTO_TEST_CASE(two_instances_read_whatever_the_size_of_the_fleet)
{
    for (const int size : {2, 9, 88, 360}) {
        const auto instance_names = make_names(size);
        BOOST_TEST(count_readers(make_fleet(instance_names), start) == 2U);
    }
}

BOOST_AUTO_TEST_CASE(an_instance_that_hears_nobody_reads_for_itself)
{
    BOOST_TEST(peers::should_read_store("alone", {}, start));
    const auto instance_names = make_names(9);
    BOOST_TEST(peers::should_read_store("alone", make_fleet(instance_names), start + 1s));
}

BOOST_AUTO_TEST_CASE(others_take_over_from_readers_that_fail_leave_or_fall_silent)
{
    const auto instance_names = make_names(9);
    auto fleet = make_fleet(instance_names);
    for (auto& each : fleet) {
        each.store_failing = true;
    }
    BOOST_TEST(count_readers(fleet, start) == 9U);
    fleet.front().store_failing = false;
    BOOST_TEST(count_readers(fleet, start) >= 2U);
    fleet = make_fleet(instance_names);
    for (std::size_t i = 0; i < 7; ++i) {
        fleet[i].leaving = true;
    }
    std::uint32_t readers_without_leaving = 0;
    for (std::size_t i = 7; i < 9; ++i) {
        std::vector<reader_candidate> others{fleet.begin(), fleet.begin() + 7};
        readers_without_leaving += peers::should_read_store(fleet[i].name, others, start) ? 1U : 0U;
    }
    BOOST_TEST(readers_without_leaving == 2U);
}

BOOST_AUTO_TEST_CASE(readers_whose_catalog_is_of_an_earlier_era_are_not_relied_on)
{
    const auto instance_names = make_names(9);
    auto fleet = make_fleet(instance_names);
    for (auto& each : fleet) {
        each.earlier_era = true;
    }
    BOOST_TEST(count_readers(fleet, start) == 9U);
}

BOOST_AUTO_TEST_CASE(when_all_start_at_once_some_read_the_store_within_300_ms)
{
    BOOST_TEST((peers::first_selection_delay <= 300ms));
    const auto instance_names = make_names(9);
    std::vector<reader_candidate> fleet;
    for (const auto& name : instance_names) {
        fleet.push_back(
            {.name = name, .last_heard = start + 100ms}); // without a configuration, like all others
    }
    const auto count = count_readers(fleet, start + peers::first_selection_delay);
    BOOST_TEST(count == peers::reader_count);
}

BOOST_AUTO_TEST_SUITE_END()
