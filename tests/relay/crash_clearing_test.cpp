#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
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

constexpr std::string_view crashing_body = "print 7";
/// Crashes further apart than this count as separate ones.
constexpr auto between_crashes = 350ms;

std::string crashing_request(int number)
{
    return request_bytes("c" + std::to_string(number), {}, crashing_body);
}

std::string open_ended_head(std::string_view id, std::string_view type)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: " + std::string{type} +
           "\r\nX-Signature: s\r\nX-Request-Id: " + std::string{id} + "\r\nConnection: close\r\n\r\n";
}

/// Sends the crashing request again and again, each time after the crash before was looked into.
/// @returns How many endpoints it has ended.
int ask_repeatedly(relay_fixture& fixture, const std::atomic<int>& crashes, int times)
{
    for (int i = 0; i < times; ++i) {
        (void)fixture.ask(crashing_request(i));
        std::this_thread::sleep_for(between_crashes);
    }
    return crashes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_clearing_test)

BOOST_AUTO_TEST_CASE(a_request_is_not_cleared_by_the_failure_response_of_a_faulty_endpoint)
{
    std::atomic<int> arrivals{0};
    std::atomic<int> crashes{0};
    const auto crash_or_fail = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            if (arrivals++ % 2 == 0) {
                ++crashes;
                connection.crash_endpoint();
                return;
            }
            connection.write(signed_answer(request->id, "failed", 500));
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(12, crash_or_fail),
                          route_of(route_kind::non_idempotent)};
    BOOST_TEST(ask_repeatedly(fixture, crashes, 14) <= 3);
}

BOOST_AUTO_TEST_CASE(a_request_is_not_cleared_by_a_stream_without_length_that_its_crash_ends_between_events)
{
    std::atomic<int> crashes{0};
    const auto crash_after_event = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            ++crashes;
            connection.write(open_ended_head(request->id, "text/event-stream") + numbered_event(1));
            std::this_thread::sleep_for(30ms);
            connection.crash_endpoint();
            return;
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(12, crash_after_event),
                          route_of(route_kind::stream)};
    BOOST_TEST(ask_repeatedly(fixture, crashes, 8) <= 3);
}

BOOST_AUTO_TEST_CASE(a_request_is_not_cleared_by_an_answer_without_length_that_its_crash_ends)
{
    std::atomic<int> crashes{0};
    const auto crash_in_body = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            ++crashes;
            connection.write(open_ended_head(request->id, "text/plain") + "do");
            std::this_thread::sleep_for(30ms);
            connection.crash_endpoint();
            return;
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(12, crash_in_body),
                          route_of(route_kind::non_idempotent)};
    BOOST_TEST(ask_repeatedly(fixture, crashes, 8) <= 3);
}

BOOST_AUTO_TEST_CASE(a_request_is_not_cleared_by_the_rest_of_a_stream_that_is_resumed_behind_its_crash)
{
    std::atomic<int> crashes{0};
    const auto crash_at_third = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            if (request->last_event_id.empty()) {
                ++crashes;
                connection.write(signed_stream_head(request->id) + event_chunks(1, 3));
                std::this_thread::sleep_for(30ms);
                connection.crash_endpoint();
                return;
            }
            connection.write(signed_stream_head(request->id) + event_chunks(3, 5) + "0\r\n\r\n");
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(14, crash_at_third),
                          route_of(route_kind::stream, 3, true)};
    BOOST_TEST(ask_repeatedly(fixture, crashes, 8) <= 3);
}

BOOST_AUTO_TEST_CASE(a_request_whose_callers_leave_before_it_ends_the_endpoint_is_found)
{
    std::atomic<int> crashes{0};
    const auto crash_late = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            ++crashes;
            std::this_thread::sleep_for(150ms);
            connection.crash_endpoint();
            return;
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(12, crash_late),
                          route_of(route_kind::non_idempotent)};
    for (int i = 0; i < 8; ++i) {
        raw_caller caller{fixture.port()};
        caller.send(crashing_request(i));
        std::this_thread::sleep_for(80ms);
        caller.close();
        std::this_thread::sleep_for(between_crashes);
    }
    BOOST_TEST(crashes <= 3);
}

BOOST_AUTO_TEST_CASE(a_request_is_found_that_ends_its_endpoints_behind_an_answer_that_cannot_be_read)
{
    std::atomic<int> crashes{0};
    const auto crash_garbled = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            ++crashes;
            connection.write("HTTP/1.1 200 OK\r\nX-Sig\x01nature s\r\n\r\n");
            connection.crash_endpoint();
            return;
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(12, crash_garbled),
                          route_of(route_kind::non_idempotent)};
    BOOST_TEST(ask_repeatedly(fixture, crashes, 8) <= 3);
}

BOOST_AUTO_TEST_CASE(
    a_request_is_not_cleared_at_the_service_it_crashes_by_answers_of_the_routes_other_service)
{
    constexpr std::size_t endpoints = 20;
    std::atomic<int> crashes{0};
    std::vector<scripted_endpoint::script> scripts;
    for (std::size_t i = 0; i < endpoints; ++i) {
        scripts.emplace_back([&crashes, sound = i % 2 == 1](endpoint_connection& connection) {
            while (const auto request = connection.read_request()) {
                if (!sound) {
                    ++crashes;
                    connection.crash_endpoint();
                    return;
                }
                connection.write(signed_answer(request->id, "done"));
            }
        });
    }
    relay_fixture fixture{std::move(scripts), route_of(route_kind::non_idempotent)};
    const std::vector<core::service_id> services{core::service_id{"desk"}, core::service_id{"other"}};
    fixture.run_on_loop([&](relay::relay_server& entry) {
        auto table = std::make_shared<catalog::route_table>(*entry.table);
        table->version = 2;
        table->services[services[1]] = {.id = services[1]};
        table->routes.front().services = {{.service = services[0]}, {.service = services[1]}};
        catalog::index_routes(*table);
        catalog::endpoint_list list;
        for (std::size_t i = 0; i < endpoints; ++i) {
            const auto name = "e" + std::to_string(i);
            list.entries[name] = {.id = core::endpoint_id{name},
                                  .service = services[i % 2],
                                  .address = fixture.endpoint(i).address(),
                                  .domain = core::failure_domain_id{"north"},
                                  .slots = 4};
        }
        entry.update(table);
        entry.update(list);
    });
    BOOST_TEST(ask_repeatedly(fixture, crashes, 24) <= 3);
}

BOOST_AUTO_TEST_CASE(
    a_sound_stream_that_is_cut_twice_by_endpoints_that_had_announced_their_end_is_not_rejected)
{
    std::atomic<int> arrivals{0};
    const auto leave_within_stream = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            const auto head = signed_stream_head(request->id);
            if (arrivals++ < 2) {
                connection.write(head.substr(0, head.size() - 2) + "X-Leaving: 1\r\n\r\n" +
                                 event_chunks(1, 3));
                std::this_thread::sleep_for(30ms);
                connection.crash_endpoint();
                return;
            }
            connection.write(head + event_chunks(1, 5) + "0\r\n\r\n");
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(5, leave_within_stream),
                          route_of(route_kind::stream)};
    for (int i = 0; i < 2; ++i) {
        (void)fixture.ask(crashing_request(i));
        std::this_thread::sleep_for(between_crashes);
    }
    BOOST_TEST(fixture.ask(crashing_request(2)).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(a_request_is_found_that_ends_its_endpoints_after_its_attempts_have_timed_out)
{
    std::atomic<int> crashes{0};
    const auto crash_late = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            ++crashes;
            std::this_thread::sleep_for(950ms);
            connection.crash_endpoint();
            return;
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(12, crash_late),
                          route_of(route_kind::idempotent, 2)};
    for (int i = 0; i < 5; ++i) {
        (void)fixture.ask(crashing_request(i));
        std::this_thread::sleep_for(between_crashes);
    }
    BOOST_TEST(crashes <= 4);
}

BOOST_AUTO_TEST_SUITE_END()
