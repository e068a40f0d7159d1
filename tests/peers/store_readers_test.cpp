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

/// How many of the named instances read, when each hears all others as given.
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

std::vector<std::string> names(int count)
{
    std::vector<std::string> result;
    for (int i = 0; i < count; ++i) {
        result.push_back("entry-" + std::to_string(i));
    }
    return result;
}

std::vector<reader_candidate> fleet_of(const std::vector<std::string>& named)
{
    std::vector<reader_candidate> fleet;
    for (const auto& name : named) {
        fleet.push_back({.name = name, .last_heard = start});
    }
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_readers_test)

BOOST_AUTO_TEST_CASE(two_instances_read_whatever_the_size_of_the_fleet)
{
    for (const int size : {2, 9, 88, 360}) {
        const auto named = names(size);
        BOOST_TEST(count_readers(fleet_of(named), start) == 2U);
    }
}

BOOST_AUTO_TEST_CASE(an_instance_that_hears_nobody_reads_for_itself)
{
    BOOST_TEST(peers::should_read_store("alone", {}, start));
    const auto named = names(9);
    BOOST_TEST(peers::should_read_store("alone", fleet_of(named), start + 1s));
}

BOOST_AUTO_TEST_CASE(others_take_over_from_readers_that_fail_leave_or_fall_silent)
{
    const auto named = names(9);
    auto fleet = fleet_of(named);
    for (auto& each : fleet) {
        each.store_failing = true;
    }
    BOOST_TEST(count_readers(fleet, start) == 9U);
    fleet.front().store_failing = false;
    BOOST_TEST(count_readers(fleet, start) >= 2U);
    fleet = fleet_of(named);
    for (std::size_t i = 0; i < 7; ++i) {
        fleet[i].leaving = true;
    }
    std::uint32_t staying = 0;
    for (std::size_t i = 7; i < 9; ++i) {
        std::vector<reader_candidate> others{fleet.begin(), fleet.begin() + 7};
        staying += peers::should_read_store(fleet[i].name, others, start) ? 1U : 0U;
    }
    BOOST_TEST(staying == 2U);
}

BOOST_AUTO_TEST_CASE(when_all_start_at_once_some_read_the_store_within_300_ms)
{
    BOOST_TEST((peers::first_selection_delay <= 300ms));
    const auto all = names(9);
    std::vector<reader_candidate> fleet;
    for (const auto& name : all) {
        fleet.push_back({.name = name, .last_heard = start + 100ms}); // as empty as this one
    }
    const auto count = count_readers(fleet, start + peers::first_selection_delay);
    BOOST_TEST(count == peers::reader_count);
}

BOOST_AUTO_TEST_SUITE_END()
