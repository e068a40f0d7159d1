#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <charconv>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using catalog::route_kind;

namespace
{

const std::string last_chunk = "0\r\n\r\n";
constexpr int first_events = 4;
constexpr int all_events = 7;

std::string events(int from, int to)
{
    std::string text;
    for (int id = from; id < to; ++id) {
        text += numbered_event(id);
    }
    return text;
}

std::string answer_head(int status, std::string_view id, std::string_view more_headers)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Request-Id: " + std::string{id} + "\r\n" +
           std::string{more_headers} + "\r\n";
}

std::string next_events(const received_request& request)
{
    const int next = request.last_event_id.empty() ? 1 : std::stoi(request.last_event_id) + 1;
    return signed_stream_head(request.id) + event_chunks(next, all_events) + last_chunk;
}

/// The content of a chunked answer's body, and whether its last chunk arrived with nothing after it.
struct caller_body {
    std::string text;
    bool complete = false;
};

caller_body read_chunks(const std::string& answer)
{
    caller_body body;
    auto at = answer.find("\r\n\r\n");
    at = at == std::string::npos ? answer.size() : at + 4;
    while (at < answer.size()) {
        std::size_t size = 0;
        const auto* const end = answer.data() + answer.size();
        const auto parsed = std::from_chars(answer.data() + at, end, size, 16);
        const auto start = static_cast<std::size_t>(parsed.ptr - answer.data()) + 2;
        if (size == 0) {
            body.complete = answer.substr(at) == last_chunk;
            break;
        }
        if (parsed.ec != std::errc{} || start > answer.size()) {
            body.text += answer.substr(at);
            break;
        }
        body.text += answer.substr(start, size);
        at = start + size + 2;
    }
    return body;
}

using answer_writer = std::function<std::string(const received_request&)>;

/// Answers to the second attempt at a stream whose first attempt broke inside its fourth event.
struct second_answer {
    std::string_view name;
    answer_writer write;
    int valid_events = first_events; ///< Events up to this one may be delivered before the answer is dropped.
};

std::vector<second_answer> dropped_answers()
{
    const auto status = [](int value, std::string headers, std::string body) {
        return [=](const received_request& request) {
            return answer_head(value,
                               request.id,
                               headers + "Content-Length: " + std::to_string(body.size()) + "\r\n") +
                   body;
        };
    };
    const auto unframed = [](auto make_body) {
        return [=](const received_request& request) {
            const auto next = std::stoi("0" + request.last_event_id) + 1;
            return answer_head(200,
                               request.id,
                               "X-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n") +
                   make_body(next);
        };
    };
    const std::string json = R"({"error":"no"})";
    const std::string json_type = "Content-Type: application/json\r\n";
    const std::string event_type = "Content-Type: text/event-stream\r\n";
    const std::string error_head = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\n";
    return {
        {"signed error", status(500, "X-Signature: s\r\n", "Internal Server Error")},
        {"signed error with the type of a stream",
         status(500, "X-Signature: s\r\n" + event_type, numbered_event(4))},
        {"unsigned error", status(500, {}, "Internal Server Error\n\n")},
        {"signed JSON", status(200, "X-Signature: s\r\n" + json_type, json)},
        {"signed JSON with a blank line", status(200, "X-Signature: s\r\n" + json_type, json + "\n\n")},
        {"unsigned stream", status(200, event_type, numbered_event(4))},
        {"signed 204",
         [](const received_request& request) { return answer_head(204, request.id, "X-Signature: s\r\n"); }},
        {"refusal", [](const received_request& request) { return not_run_answer(request.id); }},
        {"refusal as 421", status(421, "X-Not-Run: 1\r\n", json)},
        {"signed stream without events", status(200, "X-Signature: s\r\n" + event_type, {})},
        {"signed stream without events in chunks",
         [](const received_request& request) { return signed_stream_head(request.id) + last_chunk; }},
        {"error instead of an event", unframed([=](int) { return error_head + "error\n\n"; })},
        {"error after events",
         unframed([=](int next) { return events(next, 6) + error_head + "error\n\n"; }),
         6},
        {"error inside an event",
         unframed(
             [=](int next) { return events(next, 6) + "id: 6\ndata: {\"te" + error_head + "error\n\n"; }),
         6},
        {"JSON after events", unframed([=](int next) { return events(next, 6) + json + "\n\n"; }), 6},
        {"data without id after events",
         unframed([=](int next) { return events(next, 6) + "data: " + json + "\n\n"; }),
         6},
        {"an event twice", unframed([](int next) { return events(next, 6) + events(5, 6); }), 6},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(error_in_stream_test)

BOOST_AUTO_TEST_CASE(an_error_of_a_later_attempt_is_not_passed_on_inside_a_stream)
{
    for (const auto& second : dropped_answers()) {
        BOOST_TEST_CONTEXT(second.name)
        {
            std::atomic<int> request_count{0};
            const auto script = [&](endpoint_connection& connection) {
                const auto request = connection.read_request();
                if (!request) {
                    return;
                }
                if (request_count++ == 0) {
                    connection.write(signed_stream_head(request->id) + event_chunks(1, first_events) +
                                     chunk("id: 4\nda"));
                    connection.reset();
                    return;
                }
                connection.write(second.write(*request));
                connection.shut();
            };
            relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
            const auto body = read_chunks(fixture.ask(request_bytes("1")));
            BOOST_TEST(body.text.starts_with(events(1, first_events)));
            BOOST_TEST(events(1, second.valid_events).starts_with(body.text));
            BOOST_TEST(!body.complete);
            BOOST_TEST(fixture.received().size() == 2U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_stream_goes_on_whole_after_an_attempt_that_answered_with_an_error)
{
    for (const auto& second : dropped_answers()) {
        BOOST_TEST_CONTEXT(second.name)
        {
            std::atomic<int> request_count{0};
            const auto script = [&](endpoint_connection& connection) {
                const auto request = connection.read_request();
                if (!request) {
                    return;
                }
                const auto number = request_count++;
                if (number == 0) {
                    connection.write(signed_stream_head(request->id) + event_chunks(1, first_events) +
                                     chunk("id: 4\nda"));
                    connection.reset();
                    return;
                }
                connection.write(number == 1 ? second.write(*request) : next_events(*request));
                connection.shut();
            };
            relay_fixture fixture{{script, script, script}, route_of(route_kind::stream, 3, true)};
            const auto body = read_chunks(fixture.ask(request_bytes("1")));
            BOOST_TEST(body.text == events(1, all_events));
            BOOST_TEST(body.complete);
            BOOST_TEST(fixture.received().size() == 3U);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_whole_answer_that_is_no_stream_is_passed_on_as_it_is)
{
    for (const std::string body : {R"({"answer":"no stream"})", "first line\n\nsecond line"}) {
        const auto script = [&body](endpoint_connection& connection) {
            const auto request = connection.read_request();
            connection.write(
                answer_head(200,
                            request->id,
                            "X-Signature: s\r\nContent-Type: application/json\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n") +
                body);
            connection.wait_for_close();
        };
        relay_fixture fixture{{script}, route_of(route_kind::stream)};
        const auto answer = fixture.ask(request_bytes("1"));
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
        BOOST_TEST(answer.find("Content-Length: " + std::to_string(body.size())) != std::string::npos);
        BOOST_TEST(answer.ends_with("\r\n\r\n" + body));
    }
}

BOOST_AUTO_TEST_CASE(a_204_on_a_stream_route_has_no_body)
{
    const auto script = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(answer_head(204, request->id, "X-Signature: s\r\n"));
        connection.wait_for_close();
    };
    relay_fixture fixture{{script}, route_of(route_kind::stream)};
    const auto answer = fixture.ask(request_bytes("1"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 204"));
    BOOST_TEST(answer.ends_with("\r\n\r\n"));
    BOOST_TEST(!answer.ends_with(last_chunk));
    BOOST_TEST(answer.find("Transfer-Encoding") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_ends_without_an_event_if_the_caller_has_every_event)
{
    struct first_answer {
        std::string more_events;
        std::string headers;
        bool is_whole = true;
    };
    const std::string end_mark = "data: [DONE]\n\n";
    for (const auto& first :
         {first_answer{.more_events = end_mark, .headers = {}},
          first_answer{.more_events = {}, .headers = "X-Prompt: a:8\r\nX-Max-Output: 3\r\n"},
          first_answer{
              .more_events = {}, .headers = "X-Prompt: a:8\r\nX-Max-Output: 4\r\n", .is_whole = false}}) {
        std::atomic<int> request_count{0};
        const auto script = [&](endpoint_connection& connection) {
            const auto request = connection.read_request();
            if (!request) {
                return;
            }
            if (request_count++ == 0) {
                connection.write(signed_stream_head(request->id) + event_chunks(1, first_events) +
                                 (first.more_events.empty() ? std::string{} : chunk(first.more_events)));
                connection.reset();
                return;
            }
            connection.write(signed_stream_head(request->id) + last_chunk);
            connection.wait_for_close();
        };
        relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
        const auto body = read_chunks(fixture.ask(request_bytes("1", first.headers)));
        BOOST_TEST(body.text == events(1, first_events) + first.more_events);
        BOOST_TEST(body.complete == first.is_whole);
        BOOST_TEST(fixture.received().size() == 2U);
    }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_of_comments_alone_does_not_look_whole)
{
    const std::string comment = ": comment\n\n";
    std::atomic<int> request_count{0};
    const auto script = [&](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request) {
            return;
        }
        if (request_count++ == 0) {
            connection.write(signed_stream_head(request->id) + event_chunks(1, first_events));
            connection.reset();
            return;
        }
        connection.write(signed_stream_head(request->id) + chunk(comment) + last_chunk);
        connection.wait_for_close();
    };
    relay_fixture fixture{{script, script}, route_of(route_kind::stream, 2, true)};
    const auto body = read_chunks(fixture.ask(request_bytes("1")));
    BOOST_TEST(body.text == events(1, first_events) + comment);
    BOOST_TEST(!body.complete);
}

BOOST_AUTO_TEST_CASE(an_exception_in_an_attempt_leaves_no_record_of_it_and_its_caller_an_answer)
{
    const auto script = [](endpoint_connection& connection) { connection.wait_for_close(); };
    relay_fixture fixture{{script}, route_of(route_kind::stream)};
    const auto answer = fixture.ask(request_bytes("1", "X-Prompt: a:8\r\nX-Throw: 1\r\n"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    fixture.run_on_loop([](relay::relay_server& entry) {
        for (const auto& endpoint : entry.fleet.endpoints) {
            BOOST_TEST(endpoint.model.own_requests == 0U);
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
