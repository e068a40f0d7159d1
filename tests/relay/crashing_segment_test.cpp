#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using catalog::route_kind;

namespace
{

constexpr std::string_view crashing_segment = "dead";

/// An engine that ends when it begins an answer on the crashing segment.
void serve_or_crash(endpoint_connection& connection)
{
    while (const auto request = connection.read_request()) {
        if (request->fields.at("x-prompt").find(crashing_segment) != std::string::npos) {
            connection.crash_endpoint();
            return;
        }
        connection.write(signed_stream_head(request->id) + event_chunks(1, 4) + "0\r\n\r\n");
    }
}

std::string prompt_request(int number, std::string_view shared_segments)
{
    const auto id = std::to_string(number);
    return request_bytes(id, "X-Prompt: " + std::string{shared_segments} + ",f" + id + ":20\r\n");
}

std::size_t count_crashing(const std::vector<received_request>& requests)
{
    return static_cast<std::size_t>(
        std::count_if(requests.begin(), requests.end(), [](const received_request& each) {
            return each.fields.at("x-prompt").find(crashing_segment) != std::string::npos;
        }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_segment_test)

BOOST_AUTO_TEST_CASE(requests_on_a_segment_that_crashes_engines_reach_no_more_than_five_engines)
{
    relay_fixture fixture{std::vector<scripted_endpoint::script>(10, serve_or_crash),
                          route_of(route_kind::stream, 2, true)};
    for (int i = 0; i < 9; ++i) {
        (void)fixture.ask(prompt_request(2 * i, "a:300,b:200,dead:100"));
        std::this_thread::sleep_for(350ms);
        (void)fixture.ask(prompt_request(2 * i + 1, "a:300,b:200"));
    }
    BOOST_TEST(count_crashing(fixture.received()) <= 5U);
    BOOST_TEST(fixture.ask(prompt_request(100, "a:300,b:200")).starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()
