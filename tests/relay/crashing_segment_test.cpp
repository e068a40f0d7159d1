#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <thread>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using catalog::route_kind;

namespace
{

constexpr std::string_view crashing_segment = "dead";

/// An engine that ends when it begins an answer on the crashing segment.
void serve_or_crash(endpoint_connection& connection)
{
    while (const auto request = connection.read_request()) {
        if (request->fields.at("x-prompt").find(crashing_segment) != std::string::npos) {
            connection.crash_endpoint();
            return;
        }
        connection.write(signed_stream_head(request->id) + event_chunks(1, 4) + "0\r\n\r\n");
    }
}

/// Like serve_or_crash(), but the answers to requests whose ids begin with 'w' never begin.
void serve_crash_or_wait(endpoint_connection& connection)
{
    while (const auto request = connection.read_request()) {
        if (request->id.starts_with('w')) {
            connection.wait_for_close();
            return;
        }
        if (request->fields.at("x-prompt").find(crashing_segment) != std::string::npos) {
            connection.crash_endpoint();
            return;
        }
        connection.write(signed_stream_head(request->id) + event_chunks(1, 4) + "0\r\n\r\n");
    }
}

void reset_each(endpoint_connection& connection)
{
    (void)connection.read_request();
    connection.reset();
}

std::string prompt_request(int number, std::string_view shared_segments)
{
    const auto id = std::to_string(number);
    return request_bytes(
        id, "X-Prompt: " + std::string{shared_segments} + ",f" + id + ":20\r\n", "prompt " + id);
}

std::size_t count_crashing(const std::vector<received_request>& requests)
{
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(), [](const received_request& each) {
            return each.fields.at("x-prompt").find(crashing_segment) != std::string::npos;
        }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_segment_test)

BOOST_AUTO_TEST_CASE(requests_on_a_segment_that_crashes_engines_reach_no_more_than_five_engines)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(10, serve_or_crash),
                          route_of(route_kind::stream, 2, true)};
    for (int i = 0; i < 9; ++i) {
        (void)fixture.ask(prompt_request(2 * i, "a:300,b:200,dead:100"));
        std::this_thread::sleep_for(350ms);
        (void)fixture.ask(prompt_request(2 * i + 1, "a:300,b:200"));
    }
    BOOST_TEST(count_crashing(fixture.received()) <= 5U);
    BOOST_TEST(fixture.ask(prompt_request(100, "a:300,b:200")).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(a_rejected_request_is_told_at_once_that_it_has_not_run_and_when_to_come_back)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(4, serve_or_crash),
                          route_of(route_kind::stream)};
    for (int i = 0; i < 2; ++i) {
        (void)fixture.ask(prompt_request(i, "a:300,dead:100"));
        std::this_thread::sleep_for(350ms);
    }
    const auto answer = fixture.ask(prompt_request(2, "a:300,dead:100"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(answer.find("crashes-endpoints") != std::string::npos);
    BOOST_TEST(answer.find("parts a,dead") != std::string::npos);
    const auto position = answer.find("Retry-After: ");
    BOOST_REQUIRE(position != std::string::npos);
    BOOST_TEST(std::stod(answer.substr(position + 13)) > 50.0);
    BOOST_TEST(count_crashing(fixture.received()) == 2U);
}

BOOST_AUTO_TEST_CASE(an_attempt_whose_answer_has_not_begun_is_withdrawn_before_it_crashes_its_engine)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(6, serve_crash_or_wait),
                          route_of(route_kind::stream)};
    (void)fixture.ask(prompt_request(1, "dead:100"));
    std::this_thread::sleep_for(350ms);
    raw_caller waiting{fixture.port()};
    waiting.send(request_bytes("w", "X-Prompt: dead:100,f9:20\r\n"));
    raw_caller sound{fixture.port()};
    sound.send(request_bytes("ws", "X-Prompt: b:100,f8:20\r\n"));
    std::this_thread::sleep_for(50ms);
    (void)fixture.ask(prompt_request(2, "dead:100"));
    const auto answer = waiting.read_all(1s);
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    BOOST_TEST(answer.find("crashes-endpoints") != std::string::npos);
    fixture.run_on_loop(
        [](relay::relay_server& entry) { BOOST_TEST(entry.counters.withdrawn_attempts == 1U); });
    BOOST_TEST(sound.read_until("502", 100ms).empty());
}

BOOST_AUTO_TEST_CASE(a_request_like_a_suspect_is_not_sent_to_another_engine_after_its_own_has_crashed)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(8, serve_or_crash),
                          route_of(route_kind::stream, 4, true)};
    (void)fixture.ask(prompt_request(1, "dead:100"));
    std::this_thread::sleep_for(50ms);
    const auto before = count_crashing(fixture.received());
    BOOST_TEST(before <= 2U);
    (void)fixture.ask(prompt_request(2, "dead:100"));
    BOOST_TEST(count_crashing(fixture.received()) == before + 1);
}

BOOST_AUTO_TEST_CASE(engines_that_reset_connections_and_live_on_blame_no_segment)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(6, reset_each),
                          route_of(route_kind::stream)};
    for (int i = 0; i < 4; ++i) {
        (void)fixture.ask(prompt_request(i, "a:300,b:200"));
        std::this_thread::sleep_for(320ms);
    }
    BOOST_TEST(fixture.received().size() == 4U);
    fixture.run_on_loop([](relay::relay_server& entry) {
        BOOST_TEST(entry.counters.endpoint_crashes == 0U);
        BOOST_TEST(entry.fleet.crashes.suspects.empty());
    });
}

BOOST_AUTO_TEST_CASE(requests_that_were_answered_before_a_crash_of_their_engine_are_not_suspects)
{
    const auto begin_then_crash = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(signed_stream_head(request->id) + event_chunks(1, 2));
        std::this_thread::sleep_for(100ms);
        connection.crash_endpoint();
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(4, begin_then_crash),
                          route_of(route_kind::stream)};
    for (int i = 0; i < 2; ++i) {
        (void)fixture.ask(prompt_request(i, "a:300"));
        std::this_thread::sleep_for(350ms);
    }
    (void)fixture.ask(prompt_request(2, "a:300"));
    BOOST_TEST(fixture.received().size() == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
