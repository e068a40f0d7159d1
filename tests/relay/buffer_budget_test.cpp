#include "relay_fixture.hpp"

#include "hibiscusfall/relay/buffer_budget.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using catalog::route_kind;
using relay::buffer_budget;
using relay::buffer_share;
using relay::buffer_use;

namespace
{

constexpr std::size_t mib = std::size_t{1} << 20U;

/// Resident memory of this process, in bytes.
std::size_t resident_bytes()
{
    std::ifstream status{"/proc/self/statm"};
    std::size_t total = 0;
    std::size_t resident = 0;
    status >> total >> resident;
    return resident * 4096;
}

std::shared_ptr<buffer_budget> budget_of(std::size_t limit)
{
    auto budget = std::make_shared<buffer_budget>();
    budget->limit = limit;
    return budget;
}

/// Writes what @p begin returns and then pieces, up to a number of bytes, and waits until the caller closes.
scripted_endpoint::script long_answer(std::string begin, std::string piece, std::size_t bytes)
{
    return [=](endpoint_connection& connection) {
        if (!connection.read_request() || !connection.try_write(begin)) {
            return;
        }
        for (std::size_t written = 0; written < bytes; written += piece.size()) {
            if (!connection.try_write(piece)) {
                return;
            }
        }
        (void)connection.read_request();
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(buffer_budget_test)

BOOST_AUTO_TEST_CASE(messages_never_hold_more_than_the_budget_and_give_everything_back)
{
    BOOST_TEST(rc::check("held bytes stay within the limit", [] {
        const auto budget = budget_of(*rc::gen::inRange<std::size_t>(0, 8 * mib));
        std::vector<buffer_share> shares;
        for (int i = 0; i < 20; ++i) {
            shares.emplace_back(budget, i % 2 == 0 ? buffer_use::request : buffer_use::response);
        }
        for (int step = 0; step < 200; ++step) {
            auto& share = shares[*rc::gen::inRange<std::size_t>(0, shares.size())];
            const auto before = share.size();
            const auto size = *rc::gen::inRange<std::size_t>(0, 2 * mib);
            const bool fits = share.resize(size);
            RC_ASSERT(share.size() == (fits ? size : before));
            RC_ASSERT(fits || size > before);
            RC_ASSERT(budget->held() <= budget->limit);
        }
        std::size_t sum = 0;
        for (const auto& share : shares) {
            sum += share.size();
        }
        RC_ASSERT(sum == budget->held());
        auto moved = shares.front().take();
        shares.clear();
        RC_ASSERT(budget->held() == moved.size());
        moved.release();
        RC_ASSERT(budget->held() == 0U);
    }));
}

BOOST_AUTO_TEST_CASE(large_responses_leave_room_for_bodies_of_requests_and_for_small_messages)
{
    const auto budget = budget_of(32 * mib);
    std::vector<buffer_share> responses;
    for (int i = 0; i < 20; ++i) {
        responses.emplace_back(budget, buffer_use::response);
        (void)responses.back().resize(4 * mib);
    }
    buffer_share body{budget, buffer_use::request};
    BOOST_TEST(body.resize(4 * mib));
    buffer_share another{budget, buffer_use::request};
    BOOST_TEST(!another.resize(4 * mib));
    BOOST_TEST(another.resize(buffer_budget::small_message_bytes));
}

// Dozens of responses without end, each below its own limit, took the instance beyond its memory.
BOOST_AUTO_TEST_CASE(dozens_of_responses_without_end_do_not_exceed_the_budget)
{
    constexpr std::size_t limit = 16 * mib;
    constexpr int callers = 48;
    const std::string block(16384, 'x');
    const std::string head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n";
    for (const auto& [name, begin] : std::vector<std::pair<std::string, std::string>>{
             {"bodies", head + "\r\n"}, {"heads", head + "X-More: "}}) {
        BOOST_TEST_CONTEXT(name)
        {
            constexpr std::size_t answer_bytes = 3500 * 1024;
            std::vector<scripted_endpoint::script> scripts(callers, long_answer(begin, block, answer_bytes));
            relay_fixture fixture{std::move(scripts)};
            fixture.run_on_loop([](relay::relay_server& entry) { entry.buffers->limit = limit; });
            const auto before = resident_bytes();
            std::vector<std::unique_ptr<raw_caller>> waiting;
            for (int i = 0; i < callers; ++i) {
                waiting.push_back(std::make_unique<raw_caller>(fixture.port()));
                waiting.back()->send(request_bytes(std::to_string(i), "X-Time-Left: 2500\r\n"));
            }
            std::size_t most = 0;
            for (int i = 0; i < 200; ++i) {
                most = std::max(most, resident_bytes());
                std::this_thread::sleep_for(10ms);
            }
            for (auto& each : waiting) {
                const auto answer = each->read_until("\r\n\r\n", 4s);
                BOOST_TEST(!answer.starts_with("HTTP/1.1 503")); // the endpoint may have run the request
            }
            BOOST_TEST(most - std::min(most, before) < 3 * limit);
            std::size_t peak = 0;
            std::size_t left = 0;
            fixture.run_on_loop([&](relay::relay_server& entry) {
                peak = entry.buffers->peak;
                left = entry.buffers->held();
            });
            BOOST_TEST(peak > 0U);
            BOOST_TEST(peak <= limit);
            BOOST_TEST(left == 0U);
        }
    }
}

// Bodies of the largest size that came at once took the instance beyond its memory.
BOOST_AUTO_TEST_CASE(large_bodies_that_come_at_once_are_refused_before_they_exceed_the_budget)
{
    constexpr std::size_t limit = 4 * mib;
    constexpr std::size_t body_bytes = 900 * 1024; // the endpoints of the tests take 1 MiB
    constexpr int callers = 14;
    const auto answering = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            std::this_thread::sleep_for(300ms);
            connection.write(signed_answer(request->id, "done"));
        }
    };
    relay_fixture fixture{std::vector<scripted_endpoint::script>(4, answering)};
    fixture.run_on_loop([](relay::relay_server& entry) { entry.buffers->limit = limit; });
    const std::string body(body_bytes, 'b');
    std::vector<std::string> answers(callers);
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            raw_caller caller{fixture.port()};
            caller.send("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: " +
                        std::to_string(i) + "\r\nX-Time-Left: 8000\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n");
            for (std::size_t sent = 0; sent < body.size() && answers[static_cast<std::size_t>(i)].empty();
                 sent += 65536) {
                caller.send(body.substr(sent, 65536));
                answers[static_cast<std::size_t>(i)] = caller.read_until("\r\n\r\n", 0ms);
            }
            if (answers[static_cast<std::size_t>(i)].empty()) {
                answers[static_cast<std::size_t>(i)] = caller.read_until("\r\n\r\n", 8s);
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    const auto served = std::count_if(
        answers.begin(), answers.end(), [](const auto& each) { return each.starts_with("HTTP/1.1 200"); });
    const auto refused = std::count_if(answers.begin(), answers.end(), [](const auto& each) {
        return each.starts_with("HTTP/1.1 503") && each.find("Retry-After: ") != std::string::npos;
    });
    BOOST_TEST(served + refused == callers);
    BOOST_TEST(served >= 3);
    BOOST_TEST(refused >= 1);
    BOOST_TEST(fixture.received().size() == static_cast<std::size_t>(served)); // "not run" was true
    fixture.run_on_loop([limit](relay::relay_server& entry) {
        BOOST_TEST(entry.buffers->peak <= limit);
        BOOST_TEST(entry.buffers->held() == 0U);
    });
}

BOOST_AUTO_TEST_SUITE_END()
