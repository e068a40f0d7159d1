#include "mixed_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;
using testing::caller;
using testing::eventually;
using testing::limit;
using testing::mixed_fleet;
using testing::take_up;
using testing::take_up_of;

namespace
{

/// Takes all streams up, each through the instance at which it did not begin.
void check_take_ups(mixed_fleet& fleet,
                    const std::vector<std::pair<std::string, std::string>>& begun,
                    const std::string& left_version,
                    const std::string& round)
{
    std::size_t number = 0;
    for (const auto& [id, version] : begun) {
        const auto began_at = static_cast<std::size_t>(std::stoul(id.substr(std::string{"begun"}.size())));
        auto& entry = fleet.entry(began_at + 1);
        if (version == left_version) {
            const auto sent = std::chrono::steady_clock::now();
            caller again{entry, "again" + round + std::to_string(number++), take_up_of(id)};
            BOOST_TEST(again.status() == "503", id);
            // At once: long before the caller's deadline.
            BOOST_TEST((std::chrono::steady_clock::now() - sent < 10s));
            continue;
        }
        const auto again = take_up(entry, id, round);
        BOOST_TEST(again->status() == "200", id + ": " + again->text());
        BOOST_TEST(again->version() == version, id);
        BOOST_TEST(again->read_until("[DONE]"), id);
        BOOST_TEST((again->text().find("id: 2\n") != std::string::npos), id);
        BOOST_TEST((again->text().find("id: 4\n") != std::string::npos), id);
    }
}

void check_unnamed_take_ups(mixed_fleet& fleet, const std::string& round)
{
    const std::array<std::string, 4> unnamed{"Last-Event-Id: 1\r\n",
                                             "Last-Event-Id: 1\r\nResumes:\r\n",
                                             take_up_of("nothing"),
                                             take_up_of("begun0 begun1")};
    for (std::size_t i = 0; i < 2 * unnamed.size(); ++i) {
        const auto sent = std::chrono::steady_clock::now();
        caller again{fleet.entry(i / unnamed.size()),
                     "unnamed" + round + std::to_string(i),
                     unnamed.at(i % unnamed.size())};
        BOOST_TEST(again.status() == "503");
        BOOST_TEST((std::chrono::steady_clock::now() - sent < 10s));
    }
}

bool all_stored(mixed_fleet& fleet, std::size_t streams)
{
    return eventually([&] { return fleet.store.keys("streams/").size() >= streams; }, limit);
}

} // namespace

BOOST_AUTO_TEST_SUITE(take_up_process_test)

BOOST_AUTO_TEST_CASE(after_all_instances_were_killed_each_stream_goes_on_only_at_its_version)
{
    mixed_fleet fleet{{"v1", "v2", "v3"}};
    BOOST_REQUIRE(fleet.ready());
    const auto begun = fleet.begin_streams();
    BOOST_REQUIRE(all_stored(fleet, begun.size()));
    fleet.kill_and_restart();
    fleet.store.remove("servers/" + fleet.endpoints.at("v3")->id());
    BOOST_REQUIRE(fleet.ready());
    check_unnamed_take_ups(fleet, "a");
    check_take_ups(fleet, begun, "v3", "a");
    BOOST_TEST(fleet.endpoints.at("v3")->taken_up() == 0U);
    BOOST_TEST(fleet.endpoints.at("v1")->taken_up() >= 4U);
    BOOST_TEST(fleet.endpoints.at("v2")->taken_up() >= 4U);
}

BOOST_AUTO_TEST_CASE(instances_that_are_killed_twice_within_a_second_continue_no_stream_elsewhere)
{
    mixed_fleet fleet{{"v1", "v2"}};
    BOOST_REQUIRE(fleet.ready());
    const auto begun = fleet.begin_streams();
    BOOST_REQUIRE(all_stored(fleet, begun.size()));
    fleet.kill_and_restart();
    std::this_thread::sleep_for(300ms);
    fleet.kill_and_restart();
    BOOST_REQUIRE(fleet.ready());
    check_take_ups(fleet, begun, "", "a");
    check_unnamed_take_ups(fleet, "a");
    // Also what was taken up, whose origin the instances know from the store alone.
    fleet.kill_and_restart();
    fleet.store.remove("servers/" + fleet.endpoints.at("v1")->id());
    BOOST_REQUIRE(fleet.ready());
    check_take_ups(fleet, begun, "v1", "b");
}

BOOST_AUTO_TEST_CASE(instances_without_requests_write_again_what_a_restored_store_lost)
{
    mixed_fleet fleet{{"v1", "v2"}};
    const auto earlier = fleet.store.snapshot();
    BOOST_REQUIRE(fleet.ready());
    const auto begun = fleet.begin_streams();
    BOOST_REQUIRE(all_stored(fleet, begun.size()));
    fleet.store.restore(earlier);
    BOOST_REQUIRE(all_stored(fleet, begun.size()));
    BOOST_TEST(fleet.store.keys("versions/").size() == 1U);
    fleet.kill_and_restart();
    BOOST_REQUIRE(fleet.ready());
    check_take_ups(fleet, begun, "", "a");
}

// An instance that was out of step while a version joined continued that version's streams at the one it
// knew.
BOOST_AUTO_TEST_CASE(an_instance_that_stood_still_while_a_version_joined_continues_no_stream_at_another)
{
    constexpr int rounds = 4;
    constexpr std::size_t streams = 6;
    for (int round = 0; round < rounds; ++round) {
        mixed_fleet fleet{{"v1"}};
        BOOST_REQUIRE(fleet.ready());
        auto& frozen = fleet.entry(1);
        frozen.child().signal(SIGSTOP);
        fleet.add("v2");
        std::vector<std::pair<std::string, std::unique_ptr<caller>>> begun;
        std::vector<std::unique_ptr<caller>> at_first_version; // kept open, so that both versions get streams
        for (int i = 0; begun.size() < streams && i < 400; ++i) {
            const auto id = "begun" + std::to_string(round) + "-" + std::to_string(i);
            auto stream = std::make_unique<caller>(fleet.entry(0), id);
            const auto version = stream->version();
            if (version == "v2") {
                begun.emplace_back(id, std::move(stream));
            } else if (version == "v1") {
                at_first_version.push_back(std::move(stream));
            } else {
                std::this_thread::sleep_for(50ms); // the version is not registered yet
            }
        }
        BOOST_REQUIRE(begun.size() == streams);
        // Sent while it stands still, so that it reads them before anything else that it has missed.
        std::vector<std::unique_ptr<caller>> again;
        for (auto& [id, stream] : begun) {
            again.push_back(std::make_unique<caller>(frozen, "again" + id, take_up_of(id)));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{round * 400});
        frozen.child().signal(SIGCONT);
        for (auto& each : again) {
            const auto status = each->status();
            BOOST_TEST((status == "503" || (status == "200" && each->version() == "v2")), status);
        }
        BOOST_TEST(fleet.endpoints.at("v1")->taken_up() == 0U);
        const auto& id = begun.front().first;
        int tries = 0;
        BOOST_TEST(eventually(
            [&] {
                caller later{frozen, "later" + id + "-" + std::to_string(tries++), take_up_of(id)};
                return later.version() == "v2";
            },
            limit));
        BOOST_TEST(fleet.endpoints.at("v1")->taken_up() == 0U);
    }
}

// Its streams were refused at every other instance: only it knew where they had begun.
BOOST_AUTO_TEST_CASE(streams_of_an_instance_that_is_gone_as_a_version_joins_go_on_elsewhere)
{
    for (const int how : {SIGSTOP, SIGKILL}) {
        mixed_fleet fleet{{"v1"}};
        BOOST_REQUIRE(fleet.ready());
        const auto begun = fleet.begin_streams();
        auto& gone = fleet.entry(0);
        auto& other = fleet.entry(1);
        gone.child().signal(how);
        fleet.add("v2");
        std::vector<std::unique_ptr<caller>> begun_later;
        BOOST_REQUIRE(eventually(
            [&] {
                const auto id = "later" + std::to_string(begun_later.size());
                begun_later.push_back(std::make_unique<caller>(other, id));
                return begun_later.back()->version() == "v2";
            },
            limit));
        std::size_t taken_up = 0;
        for (const auto& [id, version] : begun) {
            const auto number = std::stoul(id.substr(std::string{"begun"}.size()));
            if (number % 2 != 0) {
                continue; // began at the other one
            }
            ++taken_up;
            const auto again = take_up(other, id);
            BOOST_TEST(again->status() == "200", id + ": " + again->text());
            BOOST_TEST(again->version() == "v1", id);
            BOOST_TEST(again->read_until("[DONE]"), id);
        }
        BOOST_TEST(taken_up >= 2U);
        BOOST_TEST(fleet.endpoints.at("v2")->taken_up() == 0U);
        gone.child().signal(SIGCONT);
    }
}

// A caller that has the first event of a stream whose record was never written would get the rest from
// another version.
BOOST_AUTO_TEST_CASE(no_stream_that_begins_while_records_are_lost_goes_on_at_another_version)
{
    constexpr int streams = 24;
    mixed_fleet fleet{{"v1"}};
    BOOST_REQUIRE(fleet.ready());
    (void)fleet.begin_streams();
    auto& gone = fleet.entry(0);
    auto& other = fleet.entry(1);
    fleet.add("v2");
    // Both know the new version.
    for (const std::size_t number : {0U, 1U}) {
        int tries = 0;
        BOOST_REQUIRE(eventually(
            [&] {
                const auto id = "first" + std::to_string(number) + "-" + std::to_string(tries++);
                return caller{fleet.entry(number), id}.version() == "v2";
            },
            limit));
    }
    fleet.store.set_changes_lost(true);
    std::vector<std::pair<std::string, std::unique_ptr<caller>>> begun;
    for (int i = 0; i < streams; ++i) {
        const auto id = "begun" + std::to_string(i);
        begun.emplace_back(id, std::make_unique<caller>(gone, id));
        std::this_thread::sleep_for(50ms);
    }
    std::this_thread::sleep_for(1s); // longer than a first event waits where it may go without a record
    gone.child().signal(SIGKILL);
    fleet.store.set_changes_lost(false);
    std::size_t at_first_version = 0;
    for (auto& [id, stream] : begun) {
        const auto version = stream->version();
        const auto again = take_up(other, id);
        if (again->status() == "200" && !version.empty()) {
            BOOST_TEST(again->version() == version, id);
        }
        BOOST_TEST((version != "v1" || again->status() == "200"), id + ": " + again->text());
        at_first_version += version == "v1" ? 1U : 0U;
    }
    BOOST_TEST(at_first_version >= 2U);
}

BOOST_AUTO_TEST_CASE(with_a_single_version_a_stream_is_taken_up_after_all_instances_were_killed)
{
    mixed_fleet fleet{{"v1"}};
    BOOST_REQUIRE(fleet.ready());
    const auto begun = fleet.begin_streams();
    fleet.kill_and_restart();
    BOOST_REQUIRE(fleet.ready());
    check_take_ups(fleet, begun, "", "a");
    BOOST_TEST(fleet.store.keys("streams/").empty());
}

BOOST_AUTO_TEST_SUITE_END()
