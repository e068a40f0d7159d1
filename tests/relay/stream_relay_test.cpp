#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
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

std::size_t count(const std::string& text, std::string_view substring)
{
    std::size_t occurrences = 0;
    for (auto position = text.find(substring); position != std::string::npos;
         position = text.find(substring, position + 1)) {
        ++occurrences;
    }
    return occurrences;
}

/// A stream whose end is the end of its connection.
std::string unframed_stream_head(std::string_view id)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Signature: s\r\nX-Request-Id: " +
           std::string{id} + "\r\nConnection: close\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_relay_test)

BOOST_AUTO_TEST_CASE(events_are_passed_on_as_they_arrive)
{
    const auto slow = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(signed_stream_head(request->id) + event_chunks(1, 2));
        connection.wait_for_close();
    };
    relay_fixture fixture{{slow}, route_of(route_kind::stream)};
    raw_caller caller{fixture.port()};
    caller.send(request_bytes("1"));
    const auto received_text = caller.read_until("id: 1", 2s);
    BOOST_TEST(contains(received_text, "X-Signature: s"));
    BOOST_TEST(contains(received_text, "id: 1"));
}

BOOST_AUTO_TEST_CASE(a_whole_stream_ends_as_whole)
{
    const auto complete_answer = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(signed_stream_head(request->id) + event_chunks(1, 5) + last_chunk);
        }
    };
    relay_fixture fixture{{complete_answer}, route_of(route_kind::stream)};
    const auto answer = fixture.ask(request_bytes("1"));
    BOOST_TEST(count(answer, "id: ") == 4U);
    BOOST_TEST(answer.ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_broken_stream_does_not_look_whole_and_is_not_run_again)
{
    const auto breaking = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(signed_stream_head(request->id) + event_chunks(1, 3) + chunk("id: 3\nda"));
        connection.reset();
    };
    relay_fixture fixture{{breaking, breaking}, route_of(route_kind::stream)};
    const auto answer = fixture.ask(request_bytes("1"));
    BOOST_TEST(!answer.ends_with(last_chunk));
    BOOST_TEST(!contains(answer, "id: 3"));
    BOOST_TEST(fixture.received().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_does_not_look_whole)
{
    const auto truncated_event = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(signed_stream_head(request->id) + event_chunks(1, 3) + chunk("id: 3\nda") +
                         last_chunk);
        connection.wait_for_close();
    };
    relay_fixture fixture{{truncated_event}, route_of(route_kind::stream)};
    BOOST_TEST(!fixture.ask(request_bytes("1")).ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_goes_on_elsewhere_after_its_last_whole_event)
{
    std::atomic<int> request_count{0};
    const auto script = [&request_count](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request) {
            return;
        }
        if (request_count++ == 0) {
            connection.write(signed_stream_head(request->id) + event_chunks(1, 4) + chunk("id: 4\nda"));
            connection.reset();
            return;
        }
        const int next = request->last_event_id.empty() ? 1 : std::stoi(request->last_event_id) + 1;
        connection.write(signed_stream_head(request->id) + event_chunks(next, 7) + last_chunk);
        connection.wait_for_close();
    };
    relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
    const auto answer = fixture.ask(request_bytes("1"));
    for (int id = 1; id < 7; ++id) {
        BOOST_TEST(count(answer, "id: " + std::to_string(id) + "\n") == 1U);
    }
    BOOST_TEST(count(answer, "HTTP/1.1") == 1U);
    BOOST_TEST(answer.ends_with(last_chunk));
    const auto requests = fixture.received();
    BOOST_TEST(requests.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_first_event_that_breaks_off_is_not_joined_to_the_answer_of_the_next_attempt)
{
    const auto reset = [](endpoint_connection& connection, const std::string& id) {
        connection.write(signed_stream_head(id) + chunk("id: 1\nda"));
        connection.reset();
    };
    const auto end_body = [](endpoint_connection& connection, const std::string& id) {
        connection.write(signed_stream_head(id) + chunk("id: 1\nda") + last_chunk);
        connection.wait_for_close();
    };
    const auto end_connection = [](endpoint_connection& connection, const std::string& id) {
        connection.write(unframed_stream_head(id) + "id: 1\nda");
        connection.shut();
    };
    const auto fall_silent = [](endpoint_connection& connection, const std::string& id) {
        connection.write(signed_stream_head(id) + chunk("id: 1\nda"));
        connection.wait_for_close();
    };
    using ending = std::function<void(endpoint_connection&, const std::string&)>;
    for (const auto& end_attempt : std::vector<ending>{reset, end_body, end_connection, fall_silent}) {
        std::atomic<int> request_count{0};
        const auto script = [&](endpoint_connection& connection) {
            const auto request = connection.read_request();
            if (!request) {
                return;
            }
            if (request_count++ == 0) {
                end_attempt(connection, request->id);
                return;
            }
            connection.write(signed_stream_head(request->id) + event_chunks(1, 4) + last_chunk);
            connection.wait_for_close();
        };
        relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
        const auto answer = fixture.ask(request_bytes("1"));
        BOOST_TEST(contains(answer, "\r\n" + numbered_event(1)));
        for (int id = 1; id < 4; ++id) {
            BOOST_TEST(count(answer, "id: " + std::to_string(id) + "\n") == 1U);
        }
        BOOST_TEST(answer.ends_with(last_chunk));
        const auto requests = fixture.received();
        BOOST_REQUIRE(requests.size() == 2U);
        BOOST_TEST((requests[0].last_event_id.empty() && requests[1].last_event_id.empty()));
    }
}

BOOST_AUTO_TEST_CASE(events_that_were_read_but_not_passed_on_are_not_missing_after_a_resume)
{
    std::atomic<int> request_count{0};
    const auto script = [&request_count](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request) {
            return;
        }
        if (request_count++ == 0) {
            connection.write(signed_stream_head(request->id) +
                             chunk(numbered_event(1) + "data: [DONE]\n\n" + numbered_event(2)));
            connection.wait_for_close();
            return;
        }
        const int next = request->last_event_id.empty() ? 1 : std::stoi(request->last_event_id) + 1;
        connection.write(signed_stream_head(request->id) + event_chunks(next, 4) + last_chunk);
        connection.wait_for_close();
    };
    relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
    const auto answer = fixture.ask(request_bytes("1"));
    for (int id = 1; id < 4; ++id) {
        BOOST_TEST(count(answer, "id: " + std::to_string(id) + "\n") == 1U);
    }
    BOOST_TEST(answer.ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_callers_own_position_in_a_stream_survives_an_attempt_that_delivered_nothing)
{
    std::atomic<int> request_count{0};
    const auto script = [&request_count](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request) {
            return;
        }
        if (request_count++ == 0) {
            connection.write(signed_stream_head(request->id) + chunk("id: 6\nda"));
            connection.reset();
            return;
        }
        connection.write(signed_stream_head(request->id) + event_chunks(6, 8) + last_chunk);
        connection.wait_for_close();
    };
    relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
    BOOST_TEST(fixture.ask(request_bytes("1", "Last-Event-ID: 5\r\n")).ends_with(last_chunk));
    const auto requests = fixture.received();
    BOOST_REQUIRE(requests.size() == 2U);
    BOOST_TEST((requests[0].last_event_id == "5" && requests[1].last_event_id == "5"));
}

BOOST_AUTO_TEST_CASE(a_run_that_starts_over_is_not_joined_to_a_resumed_stream)
{
    std::atomic<int> request_count{0};
    const auto script = [&request_count](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request) {
            return;
        }
        const bool first = request_count++ == 0;
        connection.write(signed_stream_head(request->id) + event_chunks(1, 4));
        if (!first) {
            connection.write(last_chunk);
            connection.wait_for_close();
            return;
        }
        connection.reset();
    };
    relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
    const auto answer = fixture.ask(request_bytes("1"));
    BOOST_TEST(count(answer, "id: 1\n") == 1U);
    BOOST_TEST(!answer.ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_that_hangs_before_its_first_event_starts_elsewhere)
{
    std::atomic<int> request_count{0};
    const auto script = [&request_count](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request) {
            return;
        }
        if (request_count++ > 0) {
            connection.write(signed_stream_head(request->id) + event_chunks(1, 3) + last_chunk);
        }
        connection.wait_for_close();
    };
    relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
    BOOST_TEST(fixture.ask(request_bytes("1", "X-Time-Left: 5000\r\n")).ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_leaving_instance_serves_what_is_open_and_refuses_late_streams)
{
    const auto slow = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(signed_stream_head(request->id) + event_chunks(1, 2));
            std::this_thread::sleep_for(600ms);
            connection.write(event_chunks(2, 3) + last_chunk);
        }
    };
    relay_fixture fixture{{slow}, route_of(route_kind::stream)};
    raw_caller open_caller{fixture.port()};
    open_caller.send(request_bytes("1"));
    (void)open_caller.read_until("id: 1");
    fixture.run_on_loop([](relay::relay_server& entry) {
        entry.shut_down([] {});
        BOOST_TEST(!entry.ready());
    });
    BOOST_TEST(open_caller.read_all().ends_with(last_chunk));
    const auto early_answer = fixture.ask(request_bytes("2"));
    BOOST_TEST(contains(early_answer, "Connection: close"));
    BOOST_TEST(early_answer.ends_with(last_chunk));
    fixture.run_on_loop([](relay::relay_server& entry) { entry.shutdown_started -= 3s; });
    const auto late_answer = fixture.ask(request_bytes("3"));
    BOOST_TEST(contains(late_answer, "503"));
    BOOST_TEST(contains(late_answer, "Retry-After"));
    BOOST_TEST(fixture.received().size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_leaving_instance_takes_no_call_that_its_end_could_cut)
{
    const auto complete_answer = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(signed_answer(request->id, "hello"));
        }
    };
    relay_fixture fixture{{complete_answer}, route_of(route_kind::non_idempotent)};
    fixture.run_on_loop([](relay::relay_server& entry) {
        entry.shut_down([] {});
        entry.shutdown_started -= 5s; // 2.75 s before the instance ends; a call may take 1.5 s
    });
    BOOST_TEST(contains(fixture.ask(request_bytes("1")), "200"));
    fixture.run_on_loop([](relay::relay_server& entry) { entry.shutdown_started -= 1500ms; });
    const auto late_answer = fixture.ask(request_bytes("2"));
    BOOST_TEST(contains(late_answer, "503"));
    BOOST_TEST(contains(late_answer, "Retry-After"));
    BOOST_TEST(fixture.received().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_leaving_instance_answers_a_request_that_comes_some_time_after_its_connection)
{
    const auto unused = [](endpoint_connection& connection) { connection.wait_for_close(); };
    relay_fixture fixture{{unused}, route_of(route_kind::stream)};
    fixture.run_on_loop([](relay::relay_server& entry) {
        entry.shut_down([] {});
        entry.shutdown_started -= 3s;
    });
    raw_caller caller{fixture.port()};
    std::this_thread::sleep_for(60ms); // long enough for the sweep of idle connections
    caller.send(request_bytes("1"));
    BOOST_TEST(contains(caller.read_all(), "503"));
}

BOOST_AUTO_TEST_CASE(a_stream_without_length_or_chunks_that_ends_after_an_event_is_whole)
{
    const auto unframed = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(unframed_stream_head(request->id) + numbered_event(1));
        std::this_thread::sleep_for(20ms);
        connection.write(numbered_event(2));
    };
    relay_fixture fixture{{unframed}, route_of(route_kind::stream)};
    const auto answer = fixture.ask(request_bytes("1"));
    BOOST_TEST(count(answer, "id: ") == 2U);
    BOOST_TEST(answer.ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_stream_without_length_or_chunks_that_ends_inside_an_event_does_not_look_whole)
{
    const auto unframed = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(unframed_stream_head(request->id) + numbered_event(1) + "id: 2\ndata: {");
    };
    relay_fixture fixture{{unframed}, route_of(route_kind::stream)};
    const auto answer = fixture.ask(request_bytes("1"));
    BOOST_TEST(count(answer, "id: ") == 1U);
    BOOST_TEST(!answer.ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_stream_without_length_or_chunks_that_is_reset_after_an_event_does_not_look_whole)
{
    const auto unframed = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(unframed_stream_head(request->id) + numbered_event(1));
        std::this_thread::sleep_for(50ms);
        connection.reset();
    };
    relay_fixture fixture{{unframed}, route_of(route_kind::stream)};
    BOOST_TEST(!fixture.ask(request_bytes("1")).ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_stream_without_length_or_chunks_that_ends_before_its_first_event_does_not_look_whole)
{
    for (const std::string_view received : {"", "id: 1\nda"}) {
        const auto unframed = [received](endpoint_connection& connection) {
            const auto request = connection.read_request();
            connection.write(unframed_stream_head(request->id) + std::string{received});
        };
        relay_fixture fixture{{unframed}, route_of(route_kind::stream)};
        const auto answer = fixture.ask(request_bytes("1"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    }
}

BOOST_AUTO_TEST_CASE(a_stream_whose_connection_ends_inside_its_head_is_no_answer)
{
    const auto cut_head = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: " + request->id + "\r\n");
    };
    relay_fixture fixture{{cut_head}, route_of(route_kind::stream)};
    BOOST_TEST(fixture.ask(request_bytes("1")).starts_with("HTTP/1.1 502"));
}

BOOST_AUTO_TEST_CASE(a_kept_connection_that_ends_with_its_stream_is_not_used_again)
{
    const auto keeps_then_ends = [](endpoint_connection& connection) {
        const auto first = connection.read_request();
        if (!first) {
            return;
        }
        connection.write(signed_stream_head(first->id) + event_chunks(1, 3) + last_chunk);
        const auto second = connection.read_request();
        if (second) {
            connection.write(unframed_stream_head(second->id) + numbered_event(1) + numbered_event(2));
        }
    };
    relay_fixture fixture{{keeps_then_ends}, route_of(route_kind::stream)};
    for (int i = 0; i < 4; ++i) {
        const auto answer = fixture.ask(request_bytes(std::to_string(i)));
        BOOST_TEST(count(answer, "id: ") == 2U);
        BOOST_TEST(answer.ends_with(last_chunk));
    }
}

BOOST_AUTO_TEST_CASE(a_stream_without_length_or_chunks_that_ends_after_a_comment_does_not_look_whole)
{
    const auto unframed = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(unframed_stream_head(request->id) + ": comment\n\n");
    };
    relay_fixture fixture{{unframed}, route_of(route_kind::stream)};
    BOOST_TEST(!fixture.ask(request_bytes("1")).ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_that_breaks_after_a_comment_starts_elsewhere)
{
    for (const std::string_view cut_text : {"", "id: 1\nda"}) {
        std::atomic<int> request_count{0};
        const auto script = [&](endpoint_connection& connection) {
            const auto request = connection.read_request();
            if (!request) {
                return;
            }
            if (request_count++ == 0) {
                connection.write(signed_stream_head(request->id) + chunk(": comment\n\n"));
                std::this_thread::sleep_for(20ms);
                if (!cut_text.empty()) {
                    connection.write(chunk(cut_text));
                }
                connection.reset();
                return;
            }
            connection.write(signed_stream_head(request->id) + event_chunks(1, 4) + last_chunk);
            connection.wait_for_close();
        };
        relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
        const auto answer = fixture.ask(request_bytes("1"));
        BOOST_TEST(count(answer, "HTTP/1.1") == 1U);
        BOOST_TEST(contains(answer, ": comment\n\n"));
        BOOST_TEST(contains(answer, "\r\n" + numbered_event(1)));
        for (int id = 1; id < 4; ++id) {
            BOOST_TEST(count(answer, "id: " + std::to_string(id) + "\n") == 1U);
        }
        BOOST_TEST(answer.ends_with(last_chunk));
    }
}

BOOST_AUTO_TEST_SUITE_END()
