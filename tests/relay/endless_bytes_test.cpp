#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <string>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using catalog::route_kind;

namespace
{

/// Resident memory of this process, in KiB.
long resident_kib()
{
    std::ifstream status{"/proc/self/statm"};
    long total = 0;
    long resident = 0;
    status >> total >> resident;
    return resident * 4;
}

/// Starts an answer, then writes the same piece repeatedly until the connection is closed.
scripted_endpoint::script endless_script(std::function<std::string(const received_request&)> begin,
                                         std::string piece)
{
    return [begin = std::move(begin), piece = std::move(piece)](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request || !connection.try_write(begin(*request))) {
            return;
        }
        while (connection.try_write(piece)) {
        }
    };
}

struct endless_case {
    std::string name;
    scripted_endpoint::script script;
};

std::vector<endless_case> endless_cases()
{
    const std::string block(16384, 'x');
    const auto nothing = [](const received_request&) { return std::string{}; };
    const auto head = [](std::string more) {
        return [more](const received_request& request) {
            return "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request-Id: " + request.id + "\r\n" + more;
        };
    };
    return {
        {"bytes without a line end", endless_script(nothing, block)},
        {"a status line without an end", endless_script([](const auto&) { return "HTTP/1.1 200 "; }, block)},
        {"header lines without an end",
         endless_script(head(""), "X-More: " + block.substr(0, 1000) + "\r\n")},
        {"interim answers without an end", endless_script(nothing, "HTTP/1.1 100 Continue\r\n\r\n")},
        {"a chunk extension without an end",
         endless_script(head("Transfer-Encoding: chunked\r\n\r\n5;a="), block)},
        {"trailers without an end",
         endless_script(head("Transfer-Encoding: chunked\r\n\r\n0\r\n"), "X-More: " + block + "\r\n")},
        {"a body without an end", endless_script(head("\r\n"), block)},
        {"chunks without an end",
         endless_script(head("Transfer-Encoding: chunked\r\n\r\n"), "4000\r\n" + block + "\r\n")}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_bytes_test)

BOOST_AUTO_TEST_CASE(an_answer_without_an_end_ends_in_a_true_failure_and_flat_memory)
{
    for (const auto kind : {route_kind::non_idempotent, route_kind::stream}) {
        for (const auto& each : endless_cases()) {
            BOOST_TEST_CONTEXT(each.name)
            {
                relay_fixture fixture{{each.script}, route_of(kind)};
                const auto before = resident_kib();
                raw_caller caller{fixture.port()};
                caller.send(request_bytes("1", "X-Time-Left: 1500\r\n"));
                const auto answer = caller.read_all(4s);
                const bool refused = answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429");
                BOOST_TEST(!refused); // the endpoint may have run the request
                const bool complete = answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n0\r\n\r\n");
                BOOST_TEST(!complete);
                BOOST_TEST((answer.empty() || answer.starts_with("HTTP/1.1 5") ||
                            answer.starts_with("HTTP/1.1 200")));
                constexpr long max_growth_kib =
                    48L * 1024; // answers are limited to 4 MiB; the rest is what the test itself reads
                BOOST_TEST(resident_kib() - before < max_growth_kib);
                fixture.run_on_loop([](relay::relay_server& entry) {
                    BOOST_TEST(dispatch::recent_failures(entry.fleet.endpoints.front().health,
                                                         relay::event_loop::now()) > 0);
                });
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_request_without_an_end_is_refused_and_its_connection_ends)
{
    const auto complete_answer = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(signed_answer(request->id, "hello"));
        }
    };
    const std::string head = "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: 1\r\n";
    const std::string block(8192, 'x');
    for (const auto& [begin, piece] : std::vector<std::pair<std::string, std::string>>{
             {"GET /", block},
             {head, "X-More: " + block.substr(0, 500) + "\r\n"},
             {head + "Transfer-Encoding: chunked\r\n\r\n1;a=", block},
             {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + block + "\r\n"}}) {
        relay_fixture fixture{{complete_answer}};
        raw_caller caller{fixture.port()};
        caller.send(begin);
        std::string answer;
        for (int i = 0; i < 200 && answer.empty(); ++i) {
            caller.send(piece);
            answer = caller.read_until("\r\n\r\n", 5ms);
        }
        BOOST_TEST(answer.starts_with("HTTP/1.1 4"));
        BOOST_TEST(fixture.received().empty());
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_sends_only_comments_is_moved_and_does_not_count_as_going_on)
{
    const auto comments_only = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(signed_stream_head(request->id) + event_chunks(1, 2));
        while (connection.try_write(chunk(": still here\n\n"))) {
            std::this_thread::sleep_for(100ms);
        }
    };
    const auto resuming = [](endpoint_connection& connection) {
        const auto request = connection.read_request();
        connection.write(signed_stream_head(request->id) + event_chunks(2, 4) + "0\r\n\r\n");
        connection.wait_for_close();
    };
    const auto connection_count = std::make_shared<std::atomic<int>>(0);
    const auto script_by_connection = [=](endpoint_connection& connection) {
        if (connection_count->fetch_add(1) == 0) {
            comments_only(connection);
        } else {
            resuming(connection);
        }
    };
    auto route = route_of(route_kind::stream, 2, true);
    route.timeout = 8s;
    relay_fixture fixture{{script_by_connection, script_by_connection}, route};
    const auto answer = fixture.ask(request_bytes("1", "X-Time-Left: 8000\r\n"));
    BOOST_TEST(answer.find("id: 3") != std::string::npos);
    BOOST_TEST(answer.ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(a_stream_whose_time_ends_while_its_caller_reads_slowly_is_moved)
{
    const auto connection_count = std::make_shared<std::atomic<int>>(0);
    const auto script = [=](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (connection_count->fetch_add(1) > 0) {
            connection.write(signed_stream_head(request->id) + event_chunks(2, 4) + "0\r\n\r\n");
            connection.wait_for_close();
            return;
        }
        connection.write(signed_stream_head(request->id) + event_chunks(1, 2));
        const auto long_comment = chunk(": " + std::string(60000, 'x') + "\n\n");
        for (int i = 0; i < 400 && connection.try_write(long_comment); ++i) {
        }
        while (connection.try_write(chunk(": still here\n\n"))) {
            std::this_thread::sleep_for(100ms);
        }
    };
    auto route = route_of(route_kind::stream, 2, true);
    route.timeout = 8s;
    relay_fixture fixture{{script, script}, route};
    raw_caller caller{fixture.port()};
    caller.send(request_bytes("1", "X-Time-Left: 8000\r\n"));
    std::this_thread::sleep_for(1500ms);
    const auto answer = caller.read_until("0\r\n\r\n", 6s);
    BOOST_TEST(answer.find("id: 3") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
