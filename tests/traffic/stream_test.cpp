#include "test_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;

namespace
{

std::string events(int from, int to)
{
    std::string text;
    for (int id = from; id < to; ++id) {
        text += numbered_event(id);
    }
    return text;
}

const std::string end_event = "data: [DONE]\n\n";

/// A fleet with one engine.
struct engine_fleet {
    scripted_endpoint engine;
    test_fleet fleet;

    explicit engine_fleet(scripted_endpoint::script script, traffic::caller_server_options options = {})
        : engine(std::move(script)), fleet(std::move(options))
    {
        this->fleet.add_endpoint("e1", "draft", this->engine.address(), 1);
        this->fleet.start();
    }
};

void check_cut(const caller_answer& answer, const std::string& relayed)
{
    BOOST_TEST(!answer.complete);
    BOOST_TEST(answer.body.starts_with(relayed + "event: error\ndata: "));
    BOOST_TEST(answer.body.find("\"verdict\":\"may-have-run\"") != std::string::npos);
    BOOST_TEST(answer.body.find(end_event) == std::string::npos);
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_test)

BOOST_AUTO_TEST_CASE(a_stream_is_relayed_whole)
{
    engine_fleet all([](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write(stream_head() + event_chunks(0, 3) + stream_end());
        }
    });
    const auto answer = all.fleet.call(completion(true));
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body == events(0, 3) + end_event);
    BOOST_TEST(all.fleet.slots_came_back());
    const auto usage = all.fleet.usages().front();
    BOOST_TEST(usage.answered);
    BOOST_TEST(usage.cost == 1 + 3 * 0.5);
}

BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_after_the_last_event)
{
    engine_fleet all([](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request) {
            return;
        }
        if (request->last_event_id.empty()) {
            // The third event breaks off in its middle.
            connection.write(stream_head() + event_chunks(0, 2) + chunk("id: 2\ndata: {\"te"));
            return;
        }
        const int next = std::stoi(request->last_event_id) + 1;
        // The first resume breaks again.
        connection.write(stream_head() + event_chunks(next, next + 2));
        if (next > 2) {
            connection.write(stream_end());
        }
    });
    const auto answer = all.fleet.call(completion(true));
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body == events(0, 6) + end_event);
    const auto requests = all.engine.requests();
    BOOST_TEST_REQUIRE(requests.size() == 3U);
    BOOST_TEST(requests[1].last_event_id == "1");
    BOOST_TEST(requests[2].last_event_id == "3");
    BOOST_TEST(requests[1].id == requests[0].id);
    BOOST_TEST(requests[1].body == requests[0].body);
    BOOST_TEST(all.fleet.callers().counters().resumes.load() == 2U);
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_stream_that_the_engine_forgot_is_not_shown_as_complete)
{
    engine_fleet all([](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (request && request->last_event_id.empty()) {
            connection.write(stream_head() + event_chunks(0, 2));
        } else if (request) {
            connection.write("HTTP/1.1 404 Gone\r\nContent-Length: 0\r\n\r\n");
        }
    });
    check_cut(all.fleet.call(completion(true)), events(0, 2));
    BOOST_TEST(all.engine.requests().size() == 2U);
    BOOST_TEST(all.fleet.slots_came_back());
    BOOST_TEST(!all.fleet.usages().front().answered);
}

BOOST_AUTO_TEST_CASE(an_engine_that_starts_anew_is_not_mixed_in)
{
    engine_fleet all([](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write(stream_head() + event_chunks(0, 2));
        }
    });
    check_cut(all.fleet.call(completion(true)), events(0, 2));
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_proper_end_of_body_without_the_end_mark_is_a_cut)
{
    engine_fleet all([](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (request && request->last_event_id.empty()) {
            connection.write(stream_head() + event_chunks(0, 2) + "0\r\n\r\n");
        }
    });
    check_cut(all.fleet.call(completion(true)), events(0, 2));
}

BOOST_AUTO_TEST_CASE(a_stream_that_broke_before_any_event_is_sent_elsewhere)
{
    scripted_endpoint faulty{[](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write(stream_head() + chunk("id: 0\nda"));
        }
    }};
    scripted_endpoint well{[](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write(stream_head() + event_chunks(0, 2) + stream_end());
        }
    }};
    test_fleet fleet;
    fleet.add_endpoint("e1", "draft", faulty.address());
    fleet.add_endpoint("e2", "draft", well.address());
    fleet.start();
    const auto answer = fleet.call(completion(true));
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.body == events(0, 2) + end_event);
    BOOST_TEST(fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_vanished_caller_is_cancelled_at_the_engine)
{
    engine_fleet all([](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write(stream_head() + event_chunks(0, 1));
            connection.wait_for_close();
        }
    });
    caller_connection caller(all.fleet.address());
    caller.write(completion(true));
    caller.read_until("w0");
    caller.close();
    BOOST_TEST_REQUIRE(test_fleet::eventually([&] { return all.engine.cancels().size() == 1; }));
    BOOST_TEST(all.engine.cancels().front().find(all.engine.requests().front().id) != std::string::npos);
    BOOST_TEST(all.fleet.slots_came_back());
    BOOST_TEST(!all.fleet.usages().front().answered);
}

BOOST_AUTO_TEST_CASE(a_caller_that_vanishes_before_the_first_event_is_cancelled_too)
{
    engine_fleet all([](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.wait_for_close();
        }
    });
    caller_connection caller(all.fleet.address());
    caller.write(completion(true));
    BOOST_TEST(test_fleet::eventually([&] { return all.engine.requests().size() == 1; }));
    caller.close();
    BOOST_TEST_REQUIRE(test_fleet::eventually([&] { return all.engine.cancels().size() == 1; }));
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_caller_that_vanishes_in_the_queue_is_never_sent)
{
    engine_fleet all([](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.wait_for_close();
        }
    });
    caller_connection first(all.fleet.address());
    first.write(completion(true));
    BOOST_TEST(test_fleet::eventually([&] { return all.engine.requests().size() == 1; }));
    caller_connection second(all.fleet.address());
    second.write(completion(true));
    const auto& counters = all.fleet.callers().counters();
    BOOST_TEST(test_fleet::eventually([&] { return counters.waiting.load() == 1; }));
    second.close();
    BOOST_TEST(test_fleet::eventually([&] { return counters.waiting.load() == 0; }));
    first.close();
    BOOST_TEST(test_fleet::eventually([&] { return counters.in_flight.load() == 0; }));
    BOOST_TEST(all.engine.requests().size() == 1U);
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_slow_reader_holds_the_engine_back_and_is_let_go)
{
    std::atomic<std::size_t> sent = 0;
    std::atomic<bool> closed = false;
    traffic::caller_server_options options;
    options.caller_timeout = 300ms;
    engine_fleet all(
        [&](endpoint_connection& connection) {
            if (!connection.read_request()) {
                return;
            }
            connection.write(stream_head());
            const auto data = "\ndata: " + std::string(65536, 'x') + "\n\n";
            constexpr std::size_t most = 256U << 20U;
            for (int id = 0; sent < most; ++id) {
                const auto piece = chunk("id: " + std::to_string(id) + data);
                if (!connection.try_write(piece)) {
                    break;
                }
                sent += piece.size();
            }
            closed = true;
        },
        options);
    caller_connection caller(all.fleet.address());
    caller.shrink_receive_buffer();
    caller.write(completion(true));
    BOOST_TEST(test_fleet::eventually([&] { return closed.load(); }));
    // What the kernel holds for three sockets, far from all that the engine would send.
    BOOST_TEST(sent.load() < (64U << 20U));
    BOOST_TEST(all.fleet.slots_came_back());
    BOOST_TEST(all.engine.cancels().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_error_with_the_type_of_a_stream_is_not_relayed_as_a_stream)
{
    engine_fleet all([](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write("HTTP/1.1 500 Failed\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n" +
                             chunk("data: overheated\n\n") + stream_end());
        }
    });
    const auto answer = all.fleet.call(completion(true));
    BOOST_TEST(answer.verdict() == "may-have-run");
    BOOST_TEST(answer.body.find("overheated") == std::string::npos);
    BOOST_TEST(all.fleet.slots_came_back());
    BOOST_TEST(!all.fleet.usages().front().answered);
}

BOOST_AUTO_TEST_CASE(progress_is_reported_at_a_bounded_rate)
{
    traffic::caller_server_options options;
    options.progress_interval = 20ms;
    engine_fleet all(
        [](endpoint_connection& connection) {
            if (!connection.read_request()) {
                return;
            }
            connection.write(stream_head());
            for (int id = 0; id < 100; ++id) {
                connection.write(event_chunks(id, id + 1));
                std::this_thread::sleep_for(1ms);
            }
            connection.write(stream_end());
        },
        options);
    const auto start = std::chrono::steady_clock::now();
    BOOST_TEST(all.fleet.call(completion(true)).complete);
    const auto intervals = (std::chrono::steady_clock::now() - start) / options.progress_interval;
    BOOST_TEST(all.fleet.progress_reports() > 0U);
    BOOST_TEST(all.fleet.progress_reports() <= static_cast<std::size_t>(intervals) + 1);
}

BOOST_AUTO_TEST_SUITE_END()
