#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <list>
#include <string>

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

/// A request that keeps its connection.
std::string kept_request(std::string_view id)
{
    return "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: " + std::string{id} +
           "\r\nContent-Length: 1\r\n\r\nx";
}

/// A route without a timeout: its requests may last until the callers' deadline.
catalog::route unlimited_route(route_kind kind, std::uint32_t max_attempts = 1, bool resumable = false)
{
    auto route = route_of(kind, max_attempts, resumable);
    route.timeout = core::duration::zero();
    return route;
}

/// Begins a planned stop that was requested @p before. The loop ends with it, as the process does.
void begin_stop(relay_fixture& fixture, core::duration before = {})
{
    fixture.run_on_loop([before](relay::relay_server& entry) {
        entry.shut_down([&entry] { entry.loop.stop(); });
        entry.shutdown_started -= before;
    });
}

/// Lets time pass in a planned stop.
void advance_stop(relay_fixture& fixture, core::duration by)
{
    fixture.run_on_loop([by](relay::relay_server& entry) { entry.shutdown_started -= by; });
}

void wait_for_requests(const relay_fixture& fixture, std::size_t expected)
{
    for (int i = 0; i < 500 && fixture.received().size() < expected; ++i) {
        std::this_thread::sleep_for(10ms);
    }
    BOOST_REQUIRE(fixture.received().size() == expected);
}

void never_answer(endpoint_connection& connection)
{
    (void)connection.read_request();
    connection.wait_for_close();
}

void answer_all(endpoint_connection& connection)
{
    while (const auto request = connection.read_request()) {
        connection.write(signed_answer(request->id, "hello"));
    }
}

/// A listener whose queue is full, so that connections to it stay pending.
class full_listener
{
public:
    full_listener()
    {
        this->acceptor.open(boost::asio::ip::tcp::v4());
        this->acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
        this->acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            this->queued.emplace_back(this->io);
            this->queued.back().async_connect(this->acceptor.local_endpoint(),
                                              [](const boost::system::error_code&) {});
        }
        std::this_thread::sleep_for(50ms);
    }

    [[nodiscard]] core::address address() const
    {
        return {.host = "127.0.0.1", .port = this->acceptor.local_endpoint().port()};
    }

private:
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor{io};
    std::list<boost::asio::ip::tcp::socket> queued;
};

/// Replaces the endpoints by one with the given address.
void use_endpoint(relay_fixture& fixture, const core::address& address)
{
    fixture.run_on_loop([&](relay::relay_server& entry) {
        catalog::endpoint_list list;
        list.entries["p0"] = {.id = core::endpoint_id{"p0"},
                              .service = core::service_id{"desk"},
                              .address = address,
                              .domain = core::failure_domain_id{"north"},
                              .slots = 4};
        entry.update(list);
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stop_test)

BOOST_AUTO_TEST_CASE(a_request_without_an_answer_at_the_end_is_told_that_it_may_have_run)
{
    for (const auto kind : {route_kind::non_idempotent, route_kind::idempotent, route_kind::stream}) {
        relay_fixture fixture{{never_answer}, unlimited_route(kind)};
        raw_caller caller{fixture.port()};
        caller.send(request_bytes("1"));
        wait_for_requests(fixture, 1);
        begin_stop(fixture, 7500ms);
        const auto answer = caller.read_all(3s);
        BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
        BOOST_TEST(contains(answer, "shutting-down"));
        BOOST_TEST(!contains(answer, "Retry-After"));
    }
}

BOOST_AUTO_TEST_CASE(a_resumable_stream_that_has_not_begun_at_the_end_is_not_sent_once_more)
{
    relay_fixture fixture{{never_answer, never_answer}, unlimited_route(route_kind::stream, 2, true)};
    raw_caller caller{fixture.port()};
    caller.send(request_bytes("1"));
    wait_for_requests(fixture, 1);
    begin_stop(fixture, 7500ms);
    BOOST_TEST(caller.read_all(3s).starts_with("HTTP/1.1 502"));
    BOOST_TEST(fixture.received().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_for_its_connection_at_the_end_is_told_that_it_did_not_run)
{
    const full_listener listener;
    for (const auto kind : {route_kind::non_idempotent, route_kind::stream}) {
        relay_fixture fixture{{never_answer}, unlimited_route(kind)};
        use_endpoint(fixture, listener.address());
        raw_caller caller{fixture.port()};
        caller.send(request_bytes("1"));
        std::this_thread::sleep_for(
            50ms); // until it waits for the connection, which is given up after 400 ms
        begin_stop(fixture, 7740ms);
        const auto answer = caller.read_all(3s);
        BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
        BOOST_TEST(contains(answer, "shutting-down"));
        BOOST_TEST(contains(answer, "Retry-After: 0.020"));
    }
}

BOOST_AUTO_TEST_CASE(a_refused_request_is_not_sent_late_to_another_endpoint_that_the_end_could_cut_off)
{
    for (const auto kind : {route_kind::non_idempotent, route_kind::stream}) {
        std::atomic<int> request_count{0};
        std::atomic<bool> refuses{false};
        const auto script = [&](endpoint_connection& connection) {
            const auto request = connection.read_request();
            if (!request) {
                return;
            }
            if (request_count++ == 0) {
                while (!refuses) {
                    std::this_thread::sleep_for(5ms);
                }
                connection.write(not_run_answer(request->id));
            }
            connection.wait_for_close();
        };
        relay_fixture fixture{{script, script}, unlimited_route(kind, 2)};
        raw_caller caller{fixture.port()};
        caller.send(request_bytes("1"));
        wait_for_requests(fixture, 1);
        begin_stop(fixture, 5s);
        refuses = true;
        const auto answer = caller.read_all(4s);
        BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
        BOOST_TEST(contains(answer, "Retry-After: 0.020"));
        BOOST_TEST(fixture.received().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_refused_request_is_sent_to_another_endpoint_if_it_ends_before_the_instance_does)
{
    std::atomic<int> request_count{0};
    std::atomic<bool> refuses{false};
    const auto script = [&](endpoint_connection& connection) {
        const auto request = connection.read_request();
        if (!request) {
            return;
        }
        if (request_count++ > 0) {
            connection.write(signed_answer(request->id, "hello"));
            connection.wait_for_close();
            return;
        }
        while (!refuses) {
            std::this_thread::sleep_for(5ms);
        }
        connection.write(not_run_answer(request->id));
        connection.wait_for_close();
    };
    relay_fixture fixture{{script, script}, route_of(route_kind::non_idempotent, 2)};
    raw_caller caller{fixture.port()};
    caller.send(request_bytes("1"));
    wait_for_requests(fixture, 1);
    begin_stop(fixture, 3s);
    refuses = true;
    BOOST_TEST(caller.read_all(4s).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_CASE(requests_that_were_pipelined_before_the_stop_are_all_answered)
{
    std::atomic<bool> answers{false};
    const auto script = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            while (!answers) {
                std::this_thread::sleep_for(5ms);
            }
            connection.write(signed_answer(request->id, "hello"));
        }
    };
    relay_fixture fixture{{script}, route_of(route_kind::non_idempotent)};
    raw_caller caller{fixture.port()};
    caller.send(kept_request("1") + kept_request("2") + kept_request("3"));
    wait_for_requests(fixture, 1);
    begin_stop(fixture);
    answers = true;
    const auto answer = caller.read_all(4s);
    BOOST_TEST(count(answer, "HTTP/1.1 200") == 3U);
    BOOST_TEST(count(answer, "Connection: close") == 1U);
    BOOST_TEST(answer.rfind("HTTP/1.1 200") < answer.find("Connection: close"));
}

BOOST_AUTO_TEST_CASE(requests_that_were_pipelined_are_all_answered_when_the_end_comes)
{
    relay_fixture fixture{{never_answer}, unlimited_route(route_kind::non_idempotent)};
    raw_caller caller{fixture.port()};
    caller.send(kept_request("1") + kept_request("2"));
    wait_for_requests(fixture, 1);
    begin_stop(fixture, 7500ms);
    const auto answer = caller.read_all(3s);
    BOOST_TEST(answer.starts_with("HTTP/1.1 502"));
    BOOST_TEST(count(answer, "HTTP/1.1 503") == 1U);
    BOOST_TEST(fixture.received().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_after_a_stream_that_announced_no_close_is_answered)
{
    std::atomic<bool> ends{false};
    const auto script = [&](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(signed_stream_head(request->id) + event_chunks(1, 2));
            while (!ends) {
                std::this_thread::sleep_for(5ms);
            }
            connection.write(event_chunks(2, 3) + last_chunk);
        }
    };
    relay_fixture fixture{{script}, route_of(route_kind::stream)};
    raw_caller caller{fixture.port()};
    caller.send(kept_request("1"));
    (void)caller.read_until("id: 1");
    begin_stop(fixture);
    ends = true;
    (void)caller.read_until(last_chunk);
    caller.send(kept_request("2"));
    const auto answer = caller.read_all(4s);
    BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    BOOST_TEST(contains(answer, "Connection: close"));
    BOOST_TEST(answer.ends_with(last_chunk));
}

BOOST_AUTO_TEST_CASE(a_request_whose_body_is_not_complete_at_the_end_is_told_that_it_did_not_run)
{
    relay_fixture fixture{{answer_all}, route_of(route_kind::non_idempotent)};
    raw_caller caller{fixture.port()};
    caller.send("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: "
                "1\r\nContent-Length: 10\r\n\r\nabc");
    std::this_thread::sleep_for(50ms);
    begin_stop(fixture, 7500ms);
    const auto answer = caller.read_all(3s);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_TEST(contains(answer, "Retry-After: 0.020"));
    BOOST_TEST(fixture.received().empty());
}

BOOST_AUTO_TEST_CASE(a_request_whose_body_is_complete_late_in_the_stop_is_refused_or_served_whole)
{
    for (const auto& [elapsed, status] : {std::pair{3000ms, "200"}, std::pair{7000ms, "503"}}) {
        relay_fixture fixture{{answer_all}, route_of(route_kind::non_idempotent)};
        raw_caller caller{fixture.port()};
        caller.send("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: "
                    "1\r\nContent-Length: 10\r\n\r\nabc");
        std::this_thread::sleep_for(50ms);
        begin_stop(fixture);
        advance_stop(fixture, elapsed);
        caller.send("defghij");
        const auto answer = caller.read_all(3s);
        BOOST_TEST(answer.starts_with("HTTP/1.1 " + std::string{status}));
        BOOST_TEST(contains(answer, "Connection: close"));
    }
}

BOOST_AUTO_TEST_CASE(requests_that_came_before_their_idle_connections_are_closed_are_answered)
{
    constexpr int caller_count = 300; // more than one poll of the event loop reports
    relay_fixture fixture{{never_answer}, route_of(route_kind::stream)};
    std::list<raw_caller> callers;
    for (int i = 0; i < caller_count; ++i) {
        callers.emplace_back(fixture.port());
    }
    std::this_thread::sleep_for(600ms); // until the connections count as idle
    fixture.run_on_loop([&](relay::relay_server& entry) {
        entry.shut_down([&entry] { entry.loop.stop(); });
        entry.shutdown_started -= 3s;
        std::this_thread::sleep_for(100ms); // until the sweep of idle connections is due
        for (auto& caller : callers) {
            caller.send(kept_request("1"));
        }
    });
    std::size_t answered = 0;
    for (auto& caller : callers) {
        answered += caller.read_all(3s).starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    BOOST_TEST(answered == callers.size());
}

BOOST_AUTO_TEST_CASE(a_stop_that_a_loop_behind_its_work_sees_late_counts_from_when_it_may_have_come)
{
    relay_fixture fixture{{never_answer}, route_of(route_kind::stream)};
    core::instant requested{};
    std::atomic<bool> is_blocked{false};
    std::thread blocks{[&] {
        fixture.run_on_loop([&](relay::relay_server&) {
            is_blocked = true;
            std::this_thread::sleep_for(600ms);
        });
    }};
    while (!is_blocked) {
        std::this_thread::sleep_for(1ms);
    }
    requested = relay::event_loop::now();
    begin_stop(fixture);
    blocks.join();
    fixture.run_on_loop(
        [&](relay::relay_server& entry) { BOOST_TEST((entry.shutdown_started <= requested)); });
}

BOOST_AUTO_TEST_SUITE_END()
