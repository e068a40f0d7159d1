#include "hibiscusfall/relay/connection_limits.hpp"

#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;

namespace
{

/// A kept connection on which requests are answered and which then stays idle.
constexpr std::string_view kept_request =
    "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: 1\r\nContent-Length: 1\r\n\r\nx";

scripted_endpoint::script answering()
{
    return [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(signed_answer(request->id, "done"));
        }
    };
}

/// Waits until a condition holds, at most 5 s.
bool wait_until(const std::function<bool()>& holds)
{
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (!holds() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    return holds();
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_limits_test)

// Guards against accepts that fail because idle connections hold all descriptors. The load: 2,000 new callers
// a second who keep their connections, at an instance with 4,100 descriptors, 200 connections of which are in
// use at any time.
BOOST_AUTO_TEST_CASE(an_instance_with_many_new_callers_always_has_room_for_the_next_one)
{
    relay::descriptor_use use{.available = 4100, .endpoints = 400};
    std::deque<int> idle;
    std::size_t refused = 0;
    for (int sweep = 0; sweep < 800; ++sweep) {
        for (int arrival = 0; arrival < 50; ++arrival) {
            refused += relay::should_refuse_connection(use) ? 1 : 0;
            ++use.callers;
            idle.push_back(sweep);
        }
        const auto close = relay::idle_connections_to_close(use);
        for (std::size_t i = 0; i < close && idle.size() > 200; ++i) {
            idle.pop_front();
            --use.callers;
        }
        BOOST_TEST_REQUIRE(use.callers + use.endpoints + 200 < use.available);
    }
    BOOST_TEST(refused == 0U);
}

// Guards against refusals far from the limit: what an earlier deployment serves must not change.
BOOST_AUTO_TEST_CASE(connections_are_left_alone_while_there_are_descriptors)
{
    const relay::descriptor_use half{.available = 4100, .callers = 1500, .endpoints = 300};
    BOOST_TEST(relay::idle_connections_to_close(half) == 0U);
    BOOST_TEST(!relay::should_close_after_response(half));
    BOOST_TEST(!relay::should_refuse_connection(half));
    const relay::descriptor_use unknown{.available = 0, .callers = 100000, .endpoints = 300};
    BOOST_TEST(relay::idle_connections_to_close(unknown) == 0U);
    BOOST_TEST(!relay::should_close_after_response(unknown));
    BOOST_TEST(!relay::should_refuse_connection(unknown));
}

// Guards against an instance that serves nobody, as its connections to endpoints use all descriptors.
BOOST_AUTO_TEST_CASE(some_callers_are_served_however_many_endpoint_connections_there_are)
{
    const relay::descriptor_use use{.available = 1000, .callers = 10, .endpoints = 5000};
    BOOST_TEST(!relay::should_refuse_connection(use));
    BOOST_TEST(relay::max_caller_connections(use) > 0U);
}

// Guards against callers who wait until they give up, as their connections are never accepted.
BOOST_AUTO_TEST_CASE(the_longest_idle_connections_are_closed_and_new_callers_are_answered)
{
    relay_fixture fixture{{answering()}};
    // A limit of 64 callers: idle connections are closed from 55 on.
    fixture.run_on_loop([](relay::relay_server& server) { server.options.descriptors = 100; });
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < 60; ++i) {
        callers.push_back(std::make_unique<raw_caller>(fixture.port()));
        callers.back()->send(kept_request);
        BOOST_TEST_REQUIRE(callers.back()->read_until("done").find("200") != std::string::npos);
    }
    std::uint64_t closed = 0;
    BOOST_TEST(wait_until([&] {
        fixture.run_on_loop(
            [&](relay::relay_server& server) { closed = server.counters.closed_idle_connections; });
        return closed > 0;
    }));
    BOOST_TEST(callers.front()->read_all(2s).empty()); // ends
    auto& recent = *callers[40];                       // the last ones may have been told to close
    recent.send(kept_request);
    BOOST_TEST(recent.read_until("done").find("200") != std::string::npos);
}

// Guards against connections that are accepted beyond the limit and never answered.
BOOST_AUTO_TEST_CASE(a_caller_beyond_the_limit_is_refused_at_once_and_its_request_is_not_run)
{
    relay_fixture fixture{{answering()}};
    fixture.run_on_loop([](relay::relay_server& server) { server.options.descriptors = 100; });
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int i = 0; i < 64; ++i) {
        callers.push_back(std::make_unique<raw_caller>(fixture.port()));
    }
    BOOST_TEST(wait_until([&] {
        std::size_t open = 0;
        fixture.run_on_loop([&](relay::relay_server& server) { open = server.descriptors().callers; });
        return open == 64;
    }));
    const auto answer = fixture.ask(request_bytes("7"));
    BOOST_TEST(answer.find("503") != std::string::npos);
    BOOST_TEST(answer.find("Retry-After") != std::string::npos);
    BOOST_TEST(answer.find("X-Request-Id: 7") != std::string::npos);
    BOOST_TEST(fixture.received().empty());
}

BOOST_AUTO_TEST_SUITE_END()
