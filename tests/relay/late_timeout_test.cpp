#include "../../src/relay/caller_session.hpp"
#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view kept_request =
    "POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Key: secret\r\nX-Request-Id: 1\r\nContent-Length: 1\r\n\r\nx";

scripted_endpoint::script answering()
{
    return [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(signed_answer(request->id, "done"));
        }
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(late_timeout_test)

// Guards against a request that gets neither an answer nor a refusal: it has arrived when the connection's
// idle time ends, but the loop was late and has not read it yet.
BOOST_AUTO_TEST_CASE(a_request_that_arrived_before_a_late_idle_timeout_is_answered)
{
    relay_fixture fixture{{answering()}};
    fixture.run_on_loop([](relay::relay_server& server) {
        auto changed = std::make_shared<catalog::route_table>(*server.table);
        ++changed->version;
        changed->limits.idle_timeout = 300ms;
        server.update(std::shared_ptr<const catalog::route_table>{changed});
    });
    raw_caller caller{fixture.port()};
    caller.send(kept_request);
    BOOST_TEST_REQUIRE(caller.read_until("done").find("200") != std::string::npos);
    fixture.run_on_loop([&](relay::relay_server& server) {
        caller.send(kept_request);
        std::this_thread::sleep_for(400ms);
        for (const auto& [raw, weak] : *server.sessions) {
            raw->sweep(relay::event_loop::now());
        }
    });
    BOOST_TEST(caller.read_until("done").find("200") != std::string::npos);
}

// Guards against requests in progress that are cut as if their connections were idle, by a stop or for want
// of descriptors: their bytes had arrived before the connection was accepted, so that nothing waited for
// them.
BOOST_AUTO_TEST_CASE(a_request_that_arrived_before_its_connection_was_accepted_is_not_idle)
{
    const auto silent = [](endpoint_connection& connection) {
        (void)connection.read_request();
        connection.wait_for_close();
    };
    relay_fixture fixture{{silent}};
    std::unique_ptr<raw_caller> caller;
    fixture.run_on_loop([&](relay::relay_server&) {
        caller = std::make_unique<raw_caller>(fixture.port());
        caller->send(kept_request);
        std::this_thread::sleep_for(50ms);
    });
    while (fixture.received().empty()) {
        std::this_thread::sleep_for(1ms);
    }
    std::this_thread::sleep_for(500ms); // longer than a request may take to arrive after its connection
    fixture.run_on_loop([](relay::relay_server& server) {
        BOOST_TEST_REQUIRE(server.sessions->size() == 1U);
        for (const auto& [raw, weak] : *server.sessions) {
            BOOST_TEST(!raw->idle(relay::event_loop::now()));
            BOOST_TEST(!raw->waits_for_request(relay::event_loop::now()));
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
