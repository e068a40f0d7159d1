#include "relay_fixture.hpp"

#include "hibiscusfall/dispatch/record_need.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using catalog::route_kind;

namespace
{

constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Serves streams of six events. The first stream of all endpoints that share the count breaks after two.
scripted_endpoint::script breaking_first(std::atomic<int>& streams)
{
    return [&streams](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            const int next = request->last_event_id.empty() ? 1 : std::stoi(request->last_event_id) + 1;
            connection.write(signed_stream_head(request->id));
            if (streams++ == 0) {
                connection.write(event_chunks(next, next + 2));
                connection.reset();
                return;
            }
            connection.write(event_chunks(next, 7));
            connection.write(last_chunk);
        }
    };
}

scripted_endpoint::script whole_streams()
{
    static std::atomic<int> streams{1};
    return breaking_first(streams);
}

/// Serves streams of six events. The first connection of all endpoints that share the count is reset without
/// an answer, after @p before_reset.
scripted_endpoint::script breaking_before_the_first_event(
    std::atomic<int>& requests, std::function<void()> before_reset = [] {})
{
    return [&requests, before_reset = std::move(before_reset)](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request) {
            return;
        }
        if (requests++ == 0) {
            before_reset();
            connection.reset();
            return;
        }
        connection.write(signed_stream_head(request->id) + event_chunks(1, 7));
        connection.write(last_chunk);
    };
}

/// Waits for the condition, for five seconds at most.
void wait_for(const std::function<bool()>& condition)
{
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(1ms);
    }
}

/// Lets the relay record origins as with a store that names these versions and has no record of a stream.
/// @param baseline The version at which the store states that streams without a record began, if any.
void record_in_store(relay_fixture& fixture,
                     const std::vector<std::string>& versions = {"v1", "v2"},
                     const std::optional<std::string>& baseline = std::nullopt)
{
    fixture.run_on_loop([&](relay::relay_server& server) {
        const core::service_id service{"desk"};
        dispatch::record_registered(server.origins, service, versions);
        if (versions.size() > 1) {
            dispatch::record_baseline(server.origins, service, baseline, relay::event_loop::now());
        }
        server.set_origin_lookup(
            [](core::service_id, dispatch::stream_tag) -> relay::asio::awaitable<relay::origin_reading> {
                co_return relay::origin_reading{};
            });
    });
}

/// A caller takes up the stream that the request "1" began, after its second event.
std::string take_up(std::string_view id, std::string_view resumes = "X-Resumes: 1\r\n")
{
    return request_bytes(id, std::string{"Last-Event-ID: 2\r\n"} + std::string{resumes});
}

bool is_refused(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 503 ") && answer.find("Retry-After: ") != std::string::npos;
}

/// Number of requests that each endpoint has received.
std::vector<std::size_t> received_by_each(relay_fixture& fixture, std::size_t endpoints)
{
    std::vector<std::size_t> numbers;
    for (std::size_t i = 0; i < endpoints; ++i) {
        numbers.push_back(fixture.endpoint(i).requests().size());
    }
    std::sort(numbers.begin(), numbers.end());
    return numbers;
}

catalog::route stream_route(std::uint32_t max_attempts = 2)
{
    return route_of(route_kind::stream, max_attempts, true);
}

/// Whether the endpoint named first in the list is the one that began the stream.
std::size_t beginner(relay_fixture& fixture)
{
    return fixture.endpoint(0).requests().empty() ? 1 : 0;
}

} // namespace

BOOST_AUTO_TEST_SUITE(software_version_test)

BOOST_AUTO_TEST_CASE(a_response_is_not_continued_at_another_software_version)
{
    std::atomic<int> streams{0};
    const auto script = breaking_first(streams);
    relay_fixture fixture{{script, script}, stream_route(), {"v1", "v2"}};
    const auto answer = fixture.ask(request_bytes("1"));
    BOOST_TEST(answer.find(numbered_event(2)) != std::string::npos);
    BOOST_TEST(answer.find(numbered_event(3)) == std::string::npos);
    BOOST_TEST(!answer.ends_with(last_chunk));
    BOOST_TEST(fixture.received().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_response_goes_on_at_another_endpoint_of_its_software_version)
{
    for (int run = 0; run < 4; ++run) {
        std::atomic<int> streams{0};
        const auto script = breaking_first(streams);
        relay_fixture fixture{{script, script, script, script}, stream_route(), {"v1", "v2", "v1", "v2"}};
        const auto answer = fixture.ask(request_bytes(std::to_string(run)));
        BOOST_TEST(answer.ends_with(last_chunk));
        const auto first = fixture.endpoint(0).requests().size() + fixture.endpoint(2).requests().size();
        BOOST_TEST((first == 0U || first == 2U));
    }
}

BOOST_AUTO_TEST_CASE(a_response_is_not_continued_where_nothing_shows_the_same_software_version)
{
    std::atomic<int> streams{0};
    const auto script = breaking_first(streams);
    relay_fixture fixture{{script, script}, stream_route(), {"", ""}};
    BOOST_TEST(!fixture.ask(request_bytes("1")).ends_with(last_chunk));
    BOOST_TEST(fixture.received().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_broke_before_its_first_event_may_begin_at_another_software_version)
{
    std::atomic<int> requests{0};
    const auto script = breaking_before_the_first_event(requests);
    relay_fixture fixture{{script, script}, stream_route(), {"v1", "v2"}};
    BOOST_TEST(fixture.ask(request_bytes("1")).ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_stream_that_is_taken_up_goes_on_at_the_software_version_that_began_it)
{
    for (int run = 0; run < 4; ++run) {
        std::atomic<int> streams{0};
        const auto script = breaking_first(streams);
        relay_fixture fixture{{script, script}, stream_route(1), {"v1", "v2"}};
        BOOST_TEST(!fixture.ask(request_bytes("1")).ends_with(last_chunk));
        const auto began_at = beginner(fixture);
        for (const auto* id : {"2", "3", "4"}) {
            BOOST_TEST(fixture.ask(take_up(id)).ends_with(last_chunk));
        }
        BOOST_TEST(fixture.endpoint(began_at).requests().size() == 4U);
        BOOST_TEST(fixture.endpoint(1 - began_at).requests().empty());
    }
}

BOOST_AUTO_TEST_CASE(a_stream_of_unknown_origin_is_not_taken_up_while_software_versions_are_mixed)
{
    relay_fixture fixture{{whole_streams(), whole_streams()}, stream_route(), {"v1", "v2"}};
    for (const auto* resumes : {"", "X-Resumes: 1\r\n", "X-Resumes: \r\n", "X-Resumes: ~,;\r\n"}) {
        const auto asked = std::chrono::steady_clock::now();
        const auto answer = fixture.ask(take_up("2", resumes));
        BOOST_TEST(is_refused(answer), answer);
        BOOST_TEST((std::chrono::steady_clock::now() - asked < 1s));
    }
    BOOST_TEST(fixture.received().empty());
}

BOOST_AUTO_TEST_CASE(a_stream_of_unknown_origin_is_taken_up_while_all_endpoints_run_one_software_version)
{
    relay_fixture fixture{{whole_streams(), whole_streams()}, stream_route(), {"v1", "v1"}};
    BOOST_TEST(fixture.ask(take_up("2")).ends_with(last_chunk));
    BOOST_TEST(fixture.ask(take_up("3", "")).ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_stream_whose_software_version_has_left_is_refused_at_once)
{
    std::atomic<int> streams{0};
    const auto script = breaking_first(streams);
    relay_fixture fixture{{script, script}, stream_route(1), {"v1", "v2"}};
    (void)fixture.ask(request_bytes("1"));
    fixture.remove_endpoint(beginner(fixture));
    const auto asked = std::chrono::steady_clock::now();
    const auto answer = fixture.ask(take_up("2"));
    BOOST_TEST(is_refused(answer), answer);
    BOOST_TEST((std::chrono::steady_clock::now() - asked < 500ms));
    BOOST_TEST(fixture.received().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_pauses_is_not_moved_to_another_software_version)
{
    const scripted_endpoint::script stalling = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (request) {
            connection.write(signed_stream_head(request->id) + event_chunks(1, 3));
            connection.wait_for_close();
        }
    };
    relay_fixture fixture{{stalling, stalling}, stream_route(), {"v1", "v2"}};
    raw_caller caller{fixture.port()};
    caller.send(request_bytes("1"));
    (void)caller.read_all(2500ms);
    BOOST_TEST((received_by_each(fixture, 2) == std::vector<std::size_t>{0, 1}));
}

BOOST_AUTO_TEST_CASE(streams_do_not_begin_at_a_software_version_that_is_not_registered_yet)
{
    relay_fixture fixture{{whole_streams(), whole_streams()}, stream_route(), {"v1", "v2"}};
    record_in_store(fixture, {"v2"});
    for (const auto* id : {"1", "2", "3", "4"}) {
        BOOST_TEST(fixture.ask(request_bytes(id)).ends_with(last_chunk));
    }
    BOOST_TEST(fixture.endpoint(0).requests().empty());
}

// The store may have the version of the attempt before. An instance that ended then had passed on events of
// another version than the one at which the stream would have been continued.
BOOST_AUTO_TEST_CASE(a_request_that_moved_to_another_version_gets_no_event_before_that_is_stored)
{
    std::atomic<int> requests{0};
    std::atomic<bool> offered{false};
    const auto script =
        breaking_before_the_first_event(requests, [&] { wait_for([&] { return offered.load(); }); });
    relay_fixture fixture{{script, script}, stream_route(), {"v1", "v2"}};
    record_in_store(fixture);
    raw_caller caller{fixture.port()};
    caller.send(request_bytes("1"));
    wait_for([&] { return requests > 0; });
    fixture.run_on_loop([](relay::relay_server& server) {
        BOOST_TEST(dispatch::take_unstored(server.origins, 8, relay::event_loop::now()).size() == 1U);
    });
    offered = true;
    BOOST_TEST(caller.read_until(numbered_event(1), 1500ms).empty());
    fixture.run_on_loop([](relay::relay_server& server) {
        for (auto& [stream, origin] : server.origins.known) {
            origin.stored = true;
        }
    });
    BOOST_TEST(caller.read_all().ends_with(last_chunk));
    BOOST_TEST(requests == 2);
}

// With no record of an earlier version in the store, the stream is not withheld for as long as the store
// fails.
BOOST_AUTO_TEST_CASE(a_request_that_moved_before_it_was_recorded_is_not_kept_waiting_for_the_store)
{
    std::atomic<int> requests{0};
    const auto script = breaking_before_the_first_event(requests);
    relay_fixture fixture{{script, script}, stream_route(), {"v1", "v2"}};
    record_in_store(fixture);
    BOOST_TEST(fixture.ask(request_bytes("1")).ends_with(last_chunk));
    BOOST_TEST(requests == 2);
}

// Another instance takes a stream without a record for one of the baseline version: it joined streams of two
// versions whose instance had passed on events before the store had the record.
BOOST_AUTO_TEST_CASE(no_event_of_another_version_than_the_baseline_is_passed_on_before_its_record_is_stored)
{
    relay_fixture fixture{{whole_streams(), whole_streams()}, stream_route(), {"v1", "v2"}};
    record_in_store(fixture, {"v1", "v2"}, "v1");
    std::size_t withheld = 0;
    for (int number = 0; number < 8; ++number) {
        raw_caller caller{fixture.port()};
        caller.send(request_bytes(std::to_string(number)));
        const bool passed_on = !caller.read_until(numbered_event(1), 1500ms).empty();
        const bool at_baseline = fixture.endpoint(1).requests().size() == withheld;
        BOOST_TEST(passed_on == at_baseline);
        if (at_baseline) {
            continue;
        }
        ++withheld;
        fixture.run_on_loop([](relay::relay_server& server) {
            for (auto& [stream, origin] : server.origins.known) {
                origin.stored = true;
            }
        });
        BOOST_TEST(caller.read_all().ends_with(last_chunk));
    }
    BOOST_TEST(withheld > 0U);
    BOOST_TEST(withheld < 8U);
}

// Streams at the version that others conclude have nothing to wait for.
BOOST_AUTO_TEST_CASE(while_records_cannot_be_written_streams_begin_at_the_baseline_version_without_a_delay)
{
    relay_fixture fixture{{whole_streams(), whole_streams()}, stream_route(), {"v1", "v2"}};
    record_in_store(fixture, {"v1"});
    fixture.run_on_loop([](relay::relay_server& server) {
        const core::service_id service{"desk"};
        dispatch::record_baseline(server.origins, service, "v1", relay::event_loop::now());
        dispatch::record_registered(server.origins, service, {"v1", "v2"});
        server.origins.records_failing = true;
        server.apply_stream_versions();
    });
    const auto asked = std::chrono::steady_clock::now();
    for (int number = 0; number < 8; ++number) {
        BOOST_TEST(fixture.ask(request_bytes(std::to_string(number))).ends_with(last_chunk));
    }
    BOOST_TEST((std::chrono::steady_clock::now() - asked < 2s));
    BOOST_TEST(fixture.endpoint(1).requests().empty());
}

// The registered version's endpoint fails, and the other version could not be registered: another instance
// would conclude the registered one until it is.
BOOST_AUTO_TEST_CASE(no_event_of_an_unregistered_version_is_passed_on_before_it_is_registered)
{
    const scripted_endpoint::script failing = [](endpoint_connection& connection) {
        (void)connection.read_request();
        connection.reset();
    };
    const core::service_id service{"desk"};
    relay_fixture fixture{{failing, whole_streams()}, stream_route(), {"v1", "v2"}};
    record_in_store(fixture, {"v1"});
    fixture.run_on_loop([&](relay::relay_server& server) {
        server.origins.services.at(service).use_unregistered = true;
        server.apply_stream_versions();
    });
    raw_caller caller{fixture.port()};
    caller.send(request_bytes("1"));
    BOOST_TEST(caller.read_until(numbered_event(1), 1000ms).empty());
    BOOST_TEST(fixture.endpoint(1).requests().size() == 1U);
    fixture.run_on_loop([&](relay::relay_server& server) {
        for (auto& [stream, origin] : server.origins.known) {
            origin.stored = true;
        }
    });
    BOOST_TEST(caller.read_until(numbered_event(1), 600ms).empty());
    fixture.run_on_loop([&](relay::relay_server& server) {
        dispatch::record_registered(server.origins, service, {"v1", "v2"});
    });
    BOOST_TEST(caller.read_all().ends_with(last_chunk));
}

BOOST_AUTO_TEST_SUITE_END()
