#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using catalog::route_kind;

namespace
{

const std::string last_chunk = "0\r\n\r\n";

bool contains(const std::string& text, std::string_view substring)
{
    return text.find(substring) != std::string::npos;
}

/// An answer whose end is the end of its connection.
std::string unframed_answer(std::string_view id, std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: " + std::string{id} + "\r\n\r\n" +
           std::string{body};
}

std::string unframed_stream(std::string_view id, std::string_view events)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Signature: s\r\nX-Request-Id: " +
           std::string{id} + "\r\n\r\n" + std::string{events};
}

std::string stream_with_length(std::string_view id, std::size_t length)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Signature: s\r\nX-Request-Id: " +
           std::string{id} + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string whole_stream(std::string_view id, int from, int to)
{
    return signed_stream_head(id) + event_chunks(from, to) + last_chunk;
}

/// The content of a chunked body, whatever the borders of its chunks.
std::string stream_text(const std::string& answer)
{
    std::string text;
    auto at = answer.find("\r\n\r\n");
    at = at == std::string::npos ? answer.size() : at + 4;
    while (at < answer.size()) {
        const auto line_end = answer.find("\r\n", at);
        if (line_end == std::string::npos) {
            break;
        }
        const auto size = std::stoul(answer.substr(at, line_end - at), nullptr, 16);
        if (size == 0) {
            break;
        }
        text += answer.substr(line_end + 2, size);
        at = line_end + 2 + size + 2;
    }
    return text;
}

std::string event_text(int from, int to)
{
    std::string text;
    for (int id = from; id < to; ++id) {
        text += numbered_event(id);
    }
    return text;
}

std::uint64_t mismatched_responses(relay_fixture& fixture)
{
    std::uint64_t number = 0;
    fixture.run_on_loop([&](relay::relay_server& entry) { number = entry.counters.mismatched_responses; });
    return number;
}

} // namespace

BOOST_AUTO_TEST_SUITE(second_answer_test)

BOOST_AUTO_TEST_CASE(a_late_second_answer_cut_anywhere_around_the_next_request_reaches_nobody)
{
    const auto second = signed_answer("1", "late");
    for (std::size_t cut = 0; cut <= second.size(); cut += 9) {
        const auto late = [&](endpoint_connection& connection) {
            while (const auto request = connection.read_request()) {
                if (request->id == "1") {
                    connection.write(signed_answer("1", "own"));
                    continue;
                }
                connection.write(second.substr(0, cut));
                std::this_thread::sleep_for(2ms);
                connection.write(second.substr(cut) + signed_answer(request->id, "right"));
            }
        };
        relay_fixture fixture{{late}, route_of(route_kind::idempotent)};
        BOOST_TEST(fixture.ask(request_bytes("1")).ends_with("\r\n\r\nown"));
        BOOST_TEST(fixture.ask(request_bytes("2")).ends_with("\r\n\r\nright"));
        BOOST_TEST(mismatched_responses(fixture) == 1U); // it came on the kept connection
    }
}

BOOST_AUTO_TEST_CASE(a_second_answer_whose_start_came_while_the_connection_was_idle_reaches_nobody)
{
    const auto second = signed_answer("1", "late");
    for (std::size_t cut = 1; cut <= second.size(); cut += 9) {
        const auto late = [&](endpoint_connection& connection) {
            while (const auto request = connection.read_request()) {
                connection.write(signed_answer(request->id, "own " + request->id));
                if (request->id == "1") {
                    std::this_thread::sleep_for(2ms);
                    connection.write(second.substr(0, cut));
                    (void)connection.read_request();
                    connection.write(second.substr(cut));
                }
            }
        };
        relay_fixture fixture{{late}, route_of(route_kind::idempotent)};
        BOOST_TEST(fixture.ask(request_bytes("1")).ends_with("\r\n\r\nown 1"));
        std::this_thread::sleep_for(10ms);
        BOOST_TEST(fixture.ask(request_bytes("2")).ends_with("\r\n\r\nown 2"));
    }
}

BOOST_AUTO_TEST_CASE(a_late_second_answer_without_an_id_is_not_passed_on_as_a_success)
{
    const std::string unnamed = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\nlate";
    const auto late = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write((request->id == "1" ? "" : unnamed) + signed_answer(request->id, "own"));
        }
    };
    relay_fixture fixture{{late}, route_of(route_kind::idempotent)};
    BOOST_TEST(fixture.ask(request_bytes("1")).ends_with("\r\n\r\nown"));
    BOOST_TEST(fixture.ask(request_bytes("2")).starts_with("HTTP/1.1 502"));
}

BOOST_AUTO_TEST_CASE(a_late_second_stream_is_not_joined_to_the_next_one)
{
    const std::vector<std::string> seconds{whole_stream("1", 1, 6),
                                           signed_stream_head("1") + last_chunk,
                                           stream_with_length("1", event_text(1, 6).size()) +
                                               event_text(1, 6)};
    for (const auto& second : seconds) {
        for (const bool in_pieces : {false, true}) {
            const auto late = [&](endpoint_connection& connection) {
                while (const auto request = connection.read_request()) {
                    if (request->id == "1") {
                        connection.write(whole_stream("1", 1, 6));
                        continue;
                    }
                    const auto half = in_pieces ? second.size() / 2 : 0;
                    connection.write(second.substr(0, half));
                    std::this_thread::sleep_for(2ms);
                    connection.write(second.substr(half) + whole_stream(request->id, 1, 4));
                }
            };
            relay_fixture fixture{{late}, route_of(route_kind::stream)};
            BOOST_TEST(stream_text(fixture.ask(request_bytes("1"))) == event_text(1, 6));
            const auto answer = fixture.ask(request_bytes("2"));
            BOOST_TEST(contains(answer, "X-Request-Id: 2"));
            BOOST_TEST(stream_text(answer) == event_text(1, 4));
            BOOST_TEST(answer.ends_with(last_chunk));
            BOOST_TEST(mismatched_responses(fixture) == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_second_stream_in_the_same_read_goes_to_nobody)
{
    const auto twice = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(whole_stream(request->id, 1, 4) + whole_stream(request->id, 1, 7));
        }
    };
    relay_fixture fixture{{twice}, route_of(route_kind::stream, 2, true)};
    for (const std::string id : {"1", "2", "3"}) {
        const auto answer = fixture.ask(request_bytes(id));
        BOOST_TEST(contains(answer, "X-Request-Id: " + id));
        BOOST_TEST(stream_text(answer) == event_text(1, 4));
        BOOST_TEST(answer.ends_with(last_chunk));
    }
    BOOST_TEST(mismatched_responses(fixture) == 0U);
}

BOOST_AUTO_TEST_CASE(a_second_stream_inside_a_cut_one_is_not_taken_for_its_rest)
{
    const auto own = event_text(1, 4);
    const auto second = whole_stream("1", 1, 7);
    const auto second_unframed = unframed_stream("1", event_text(1, 7));
    for (std::size_t cut = 0; cut < own.size(); ++cut) {
        const auto part = own.substr(0, cut);
        for (const auto& answer : {stream_with_length("1", own.size() + 400) + part + second_unframed,
                                   signed_stream_head("1") + "400\r\n" + part + second_unframed,
                                   signed_stream_head("1") + (cut == 0 ? "" : chunk(part)) + second,
                                   unframed_stream("1", part) + second,
                                   unframed_stream("1", part) + second_unframed}) {
            const auto cutting = [&](endpoint_connection& connection) {
                (void)connection.read_request();
                connection.write(answer);
            };
            relay_fixture fixture{{cutting}, route_of(route_kind::stream)};
            const auto received = fixture.ask(request_bytes("1"));
            BOOST_TEST(own.starts_with(stream_text(received)), "cut at " << cut << ": " << received);
            BOOST_TEST(!received.ends_with(last_chunk), "cut at " << cut << ": " << received);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_second_answer_of_a_streams_first_endpoint_does_not_reach_the_resumed_stream)
{
    for (const bool is_late : {false, true}) {
        std::atomic<int> request_count{0};
        const auto script = [&](endpoint_connection& connection) {
            const auto request = connection.read_request();
            if (!request) {
                return;
            }
            if (request_count++ == 0) {
                connection.write(signed_stream_head("1") + event_chunks(1, 4) + chunk("id: 4\nda") +
                                 (is_late ? "" : whole_stream("1", 1, 7)));
                connection.wait_for_close(); // by the pause or the malformed bytes
                connection.write(whole_stream("1", 1, 7));
                return;
            }
            const int next = request->last_event_id.empty() ? 1 : std::stoi(request->last_event_id) + 1;
            connection.write(signed_stream_head("1") + event_chunks(next, 6));
            std::this_thread::sleep_for(20ms);
            connection.write(event_chunks(6, 7) + last_chunk);
            connection.wait_for_close();
        };
        relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
        const auto answer = fixture.ask(request_bytes("1", "X-Time-Left: 5000\r\n"));
        BOOST_TEST(stream_text(answer) == event_text(1, 7));
        BOOST_TEST(answer.ends_with(last_chunk));
        BOOST_TEST(fixture.received().size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_length_that_is_filled_up_by_a_second_answer_is_not_passed_on_as_whole)
{
    const std::string own(600, 'a');
    const auto whole = signed_answer("1", own);
    const auto head_size = whole.size() - own.size();
    // The head of the second answer stands inside the body, or over its end.
    for (std::size_t cut = 0; cut < own.size(); cut += cut < 500 ? 100 : 7) {
        const auto stuttering = [&](endpoint_connection& connection) {
            (void)connection.read_request();
            connection.write(whole.substr(0, head_size + cut) + whole);
        };
        relay_fixture fixture{{stuttering}};
        const auto answer = fixture.ask(request_bytes("1"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"), "cut at " << cut << ": " << answer);
        BOOST_TEST(fixture.received().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_with_a_length_that_is_filled_up_by_an_answer_is_not_told_as_not_run)
{
    const std::string refusal =
        "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Request-Id: 1\r\nContent-Length: 100\r\n\r\nbusy";
    const auto running = [&](endpoint_connection& connection) {
        (void)connection.read_request();
        connection.write(refusal + signed_answer("1", std::string(200, 'a')));
    };
    relay_fixture fixture{{running, running}};
    BOOST_TEST(fixture.ask(request_bytes("1")).starts_with("HTTP/1.1 502"));
    BOOST_TEST(fixture.received().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_length_may_hold_any_other_text)
{
    for (const auto& body : {signed_answer("0", "of another request"),
                             not_run_answer("0"),
                             std::string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
                             std::string{"GET /x/1 HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n"}}) {
        const auto answering = [&body](endpoint_connection& connection) {
            while (const auto request = connection.read_request()) {
                connection.write(signed_answer(request->id, body));
            }
        };
        relay_fixture fixture{{answering}, route_of(route_kind::idempotent)};
        for (const std::string id : {"1", "2"}) {
            BOOST_TEST(fixture.ask(request_bytes(id)).ends_with("\r\n\r\n" + body));
        }
    }
}

BOOST_AUTO_TEST_CASE(an_answer_in_chunks_that_is_filled_up_by_a_second_answer_is_not_passed_on_as_whole)
{
    const std::string own(600, 'a');
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto whole = head + chunk(own) + last_chunk;
    for (const std::size_t cut : {0U, 5U, 6U, 300U, 605U, 606U, 607U, 609U}) {
        const auto stuttering = [&](endpoint_connection& connection) {
            (void)connection.read_request();
            connection.write(whole.substr(0, head.size() + cut) + whole);
        };
        relay_fixture fixture{{stuttering}};
        const auto answer = fixture.ask(request_bytes("1"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"), "cut at " << cut << ": " << answer);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length_does_not_take_in_the_second_answer_to_an_earlier_request)
{
    for (const auto& second : {signed_answer("1", "late"), unframed_answer("1", "late")}) {
        const auto late = [&](endpoint_connection& connection) {
            while (const auto request = connection.read_request()) {
                if (request->id == "1" || request->id == "2") {
                    connection.write(signed_answer(request->id, "own"));
                    continue;
                }
                connection.write(unframed_answer(request->id, "right"));
                std::this_thread::sleep_for(2ms);
                connection.write(second);
                connection.shut();
                return;
            }
        };
        relay_fixture fixture{{late}, route_of(route_kind::idempotent)};
        BOOST_TEST(fixture.ask(request_bytes("1")).ends_with("\r\n\r\nown"));
        BOOST_TEST(fixture.ask(request_bytes("2")).ends_with("\r\n\r\nown"));
        const auto answer = fixture.ask(request_bytes("3"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"), answer);
    }
}

BOOST_AUTO_TEST_CASE(a_second_answer_that_comes_while_the_next_one_is_half_read_is_not_passed_on_in_it)
{
    const std::string own(600, 'a');
    const auto whole = signed_answer("2", own);
    const auto head_size = whole.size() - own.size();
    for (const std::size_t cut : {0U, 300U, 560U, 599U}) {
        const auto interleaving = [&](endpoint_connection& connection) {
            while (const auto request = connection.read_request()) {
                if (request->id == "1") {
                    connection.write(signed_answer("1", "own"));
                    continue;
                }
                connection.write(whole.substr(0, head_size + cut) + signed_answer("1", "late") +
                                 whole.substr(head_size + cut));
            }
        };
        relay_fixture fixture{{interleaving}, route_of(route_kind::idempotent)};
        BOOST_TEST(fixture.ask(request_bytes("1")).ends_with("\r\n\r\nown"));
        const auto answer = fixture.ask(request_bytes("2"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"), "cut at " << cut << ": " << answer);
    }
}

BOOST_AUTO_TEST_CASE(a_stream_without_a_length_does_not_take_in_the_second_answer_to_an_earlier_request)
{
    for (const auto& second : {whole_stream("1", 1, 7), unframed_stream("1", event_text(4, 7))}) {
        const auto late = [&](endpoint_connection& connection) {
            while (const auto request = connection.read_request()) {
                if (request->id == "1") {
                    connection.write(whole_stream("1", 1, 4));
                    continue;
                }
                connection.write(unframed_stream(request->id, event_text(1, 4)));
                std::this_thread::sleep_for(2ms);
                connection.write(second);
                connection.shut();
                return;
            }
        };
        relay_fixture fixture{{late}, route_of(route_kind::stream)};
        BOOST_TEST(stream_text(fixture.ask(request_bytes("1"))) == event_text(1, 4));
        const auto answer = fixture.ask(request_bytes("2"));
        BOOST_TEST(stream_text(answer) == event_text(1, 4));
        BOOST_TEST(!answer.ends_with(last_chunk));
    }
}

BOOST_AUTO_TEST_CASE(the_late_answer_of_an_endpoint_that_was_given_up_reaches_no_later_request)
{
    const auto slow = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            if (request->id == "1") {
                std::this_thread::sleep_for(300ms);
                connection.write(signed_answer("1", "late"));
                continue;
            }
            connection.write(signed_answer(request->id, "own " + request->id));
        }
    };
    relay_fixture fixture{{slow}, route_of(route_kind::idempotent)};
    BOOST_TEST(fixture.ask(request_bytes("0")).ends_with("own 0"));
    BOOST_TEST(fixture.ask(request_bytes("1", "X-Time-Left: 100\r\n")).starts_with("HTTP/1.1 504"));
    for (const std::string id : {"2", "3"}) {
        BOOST_TEST(fixture.ask(request_bytes(id)).ends_with("own " + id));
        std::this_thread::sleep_for(200ms);
    }
    BOOST_TEST(mismatched_responses(fixture) == 0U);
}

BOOST_AUTO_TEST_CASE(a_second_answer_with_a_body_to_a_head_request_reaches_no_later_request)
{
    const auto answering = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            const auto own = signed_answer(request->id, "own " + request->id);
            if (request->method == "HEAD") {
                connection.write(own.substr(0, own.find("own ")));
                std::this_thread::sleep_for(10ms);
                connection.write(own);
                continue;
            }
            connection.write(own);
        }
    };
    relay_fixture fixture{{answering}, route_of(route_kind::idempotent)};
    BOOST_TEST(fixture
                   .ask("HEAD /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: 1\r\n"
                        "Connection: close\r\n\r\n")
                   .ends_with("\r\n\r\n"));
    std::this_thread::sleep_for(30ms);
    BOOST_TEST(fixture.ask(request_bytes("2")).ends_with("\r\n\r\nown 2"));
}

BOOST_AUTO_TEST_SUITE_END()
