#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using catalog::route_kind;

namespace
{

constexpr std::string_view crashing_body = "print 7";
/// Crashes further apart than this count as separate ones.
constexpr auto between_crashes = 350ms;

bool is_crashing(const received_request& request)
{
    return request.body == crashing_body || request.target == "/x/dead";
}

/// A plain endpoint that ends when it begins to run the crashing request.
void serve_or_crash(endpoint_connection& connection)
{
    while (const auto request = connection.read_request()) {
        if (is_crashing(*request)) {
            connection.crash_endpoint();
            return;
        }
        connection.write(signed_answer(request->id, "done"));
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
        if (is_crashing(*request)) {
            connection.crash_endpoint();
            return;
        }
        connection.write(signed_answer(request->id, "done"));
    }
}

/// An endpoint that ends in the middle of its answer's body.
void crash_within_answer(endpoint_connection& connection)
{
    while (const auto request = connection.read_request()) {
        const auto answer = signed_answer(request->id, "done");
        if (is_crashing(*request)) {
            connection.write(answer.substr(0, answer.size() - 2));
            std::this_thread::sleep_for(20ms);
            connection.crash_endpoint();
            return;
        }
        connection.write(answer);
    }
}

std::string get_request(std::string_view id, std::string_view target)
{
    return "GET " + std::string{target} +
           " HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: " + std::string{id} +
           "\r\nConnection: close\r\n\r\n";
}

std::string crashing_request(int number)
{
    return request_bytes("c" + std::to_string(number), {}, crashing_body);
}

std::size_t count_crashing(const relay_fixture& fixture)
{
    const auto requests = fixture.received();
    return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), is_crashing));
}

double retry_after(std::string_view answer)
{
    constexpr std::string_view name = "Retry-After: ";
    const auto position = answer.find(name);
    return position == std::string_view::npos ? 0
                                              : std::stod(std::string{answer.substr(position + name.size())});
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_request_test)

BOOST_AUTO_TEST_CASE(a_call_that_must_not_repeat_and_crashes_its_endpoints_reaches_no_more_than_two_of_them)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(5, serve_or_crash),
                          route_of(route_kind::non_idempotent)};
    for (int i = 0; i < 4; ++i) {
        const auto answer = fixture.ask(crashing_request(i));
        BOOST_TEST(answer.starts_with(i < 2 ? "HTTP/1.1 502" : "HTTP/1.1 503"));
        std::this_thread::sleep_for(between_crashes);
        BOOST_TEST(
            fixture.ask(request_bytes("s" + std::to_string(i), {}, "print 8")).starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(count_crashing(fixture) == 2U);
}

BOOST_AUTO_TEST_CASE(a_repeatable_request_that_crashes_its_endpoints_reaches_no_more_than_three_of_them)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(6, serve_or_crash),
                          route_of(route_kind::idempotent, 3)};
    for (int i = 0; i < 5; ++i) {
        (void)fixture.ask(get_request("c" + std::to_string(i), "/x/dead"));
        std::this_thread::sleep_for(between_crashes);
        const auto answer = fixture.ask(get_request("s" + std::to_string(i), "/x/alive"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(count_crashing(fixture) <= 3U);
}

BOOST_AUTO_TEST_CASE(a_rejected_request_that_crashes_endpoints_is_told_when_it_is_tried_again)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(4, serve_or_crash),
                          route_of(route_kind::non_idempotent)};
    for (int i = 0; i < 2; ++i) {
        (void)fixture.ask(crashing_request(i));
        std::this_thread::sleep_for(between_crashes);
    }
    const auto answer = fixture.ask(crashing_request(2));
    BOOST_TEST(answer.find("crashes-endpoints") != std::string::npos);
    BOOST_TEST(answer.find("attributed to the request ") != std::string::npos);
    BOOST_TEST(retry_after(answer) > 50.0);
    BOOST_TEST(retry_after(answer) <= 60.0);
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_endpoints_within_its_answer_reaches_no_more_than_two_of_them)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(5, crash_within_answer),
                          route_of(route_kind::non_idempotent)};
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST(!fixture.ask(crashing_request(i)).starts_with("HTTP/1.1 200"));
        std::this_thread::sleep_for(between_crashes);
    }
    BOOST_TEST(count_crashing(fixture) == 2U);
}

BOOST_AUTO_TEST_CASE(
    an_attempt_that_waits_at_an_endpoint_when_its_request_is_found_to_crash_them_is_withdrawn)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(6, serve_crash_or_wait),
                          route_of(route_kind::non_idempotent)};
    (void)fixture.ask(crashing_request(1));
    std::this_thread::sleep_for(between_crashes);
    raw_caller waiting{fixture.port()};
    waiting.send(request_bytes("w", {}, crashing_body));
    raw_caller sound{fixture.port()};
    sound.send(request_bytes("ws", {}, "print 9"));
    std::this_thread::sleep_for(50ms);
    (void)fixture.ask(crashing_request(2));
    const auto answer = waiting.read_all(1s);
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    BOOST_TEST(answer.find("crashes-endpoints") != std::string::npos);
    BOOST_TEST(sound.read_until("502", 100ms).empty());
}

BOOST_AUTO_TEST_CASE(requests_are_served_by_the_endpoint_that_is_left_when_one_request_has_ended_the_others)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(3, serve_or_crash),
                          route_of(route_kind::non_idempotent)};
    for (int i = 0; i < 3; ++i) {
        (void)fixture.ask(crashing_request(i));
        std::this_thread::sleep_for(between_crashes);
    }
    for (int i = 0; i < 8; ++i) {
        const auto answer = fixture.ask(request_bytes("s" + std::to_string(i), {}, "print 8"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    }
}

BOOST_AUTO_TEST_CASE(a_sound_request_that_was_repeated_into_a_second_crash_is_served_when_it_comes_again)
{
    std::atomic<int> crashes{0};
    const auto crash_twice = [&crashes](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            if (crashes++ < 2) {
                std::this_thread::sleep_for(between_crashes);
                connection.crash_endpoint();
                return;
            }
            connection.write(signed_answer(request->id, "done"));
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(4, crash_twice),
                          route_of(route_kind::idempotent, 2)};
    BOOST_TEST(fixture.ask(get_request("1", "/x/page")).starts_with("HTTP/1.1 502"));
    BOOST_TEST(fixture.ask(get_request("2", "/x/page")).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(a_request_that_was_answered_just_before_its_endpoints_crash_together_is_not_rejected)
{
    const auto crash_while_waiting = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            if (request->id.starts_with('w')) {
                connection.crash_endpoint();
                return;
            }
            connection.write(signed_answer(request->id, "done"));
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(4, crash_while_waiting),
                          route_of(route_kind::non_idempotent)};
    BOOST_TEST(fixture.ask(request_bytes("1", {}, "print 8")).starts_with("HTTP/1.1 200"));
    for (const std::string_view cut : {"w1", "w2"}) {
        BOOST_TEST(fixture.ask(request_bytes(cut, {}, "print 8")).starts_with("HTTP/1.1 502"));
        std::this_thread::sleep_for(between_crashes);
    }
    BOOST_TEST(fixture.ask(request_bytes("2", {}, "print 8")).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()
