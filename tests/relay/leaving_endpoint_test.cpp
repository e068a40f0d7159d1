#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;
using namespace std::chrono_literals;
using catalog::route_kind;

namespace
{

std::string with_header(std::string answer, std::string_view header)
{
    return answer.insert(answer.find("\r\n") + 2, std::string{header} + "\r\n");
}

/// Answers every request with the given additional header.
scripted_endpoint::script answering_with(std::string header, int status)
{
    return [header, status](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(with_header(status == 503 ? not_run_answer(request->id)
                                                       : signed_answer(request->id, "hello", status),
                                         header));
        }
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_endpoint_test)

BOOST_AUTO_TEST_CASE(after_an_answer_that_says_it_leaves_an_endpoint_gets_no_request)
{
    for (const int status : {200, 500, 503}) {
        relay_fixture fixture{{answering_with("X-Leaving: 1", status)}, route_of(route_kind::non_idempotent)};
        (void)fixture.ask(request_bytes("1"));
        const auto second = fixture.ask(request_bytes("2"));
        BOOST_TEST(second.starts_with("HTTP/1.1 503"));
        BOOST_TEST(second.find("Retry-After") != std::string::npos);
        BOOST_TEST(fixture.received().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(the_sign_is_passed_on_to_peers_once)
{
    relay_fixture fixture{{answering_with("X-Leaving: 1", 200)}};
    (void)fixture.ask(request_bytes("1"));
    fixture.run_on_loop(
        [](relay::relay_server& entry) { BOOST_TEST(entry.activity.leaving_endpoints.size() == 1U); });
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_wants_nothing_gets_nothing_and_others_serve_at_once)
{
    const auto serving = answering_with("X-Other: 1", 200);
    relay_fixture fixture{{answering_with("X-Rest: 2", 503), serving},
                          route_of(route_kind::non_idempotent, 2)};
    for (int i = 0; i < 20; ++i) {
        const auto answer = fixture.ask(request_bytes(std::to_string(i)));
        BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(fixture.endpoint(0).requests().size() <= 1U);
}

BOOST_AUTO_TEST_CASE(when_all_endpoints_rest_callers_are_told_when_the_first_one_is_back)
{
    relay_fixture fixture{{answering_with("X-Rest: 2", 503)}, route_of(route_kind::non_idempotent)};
    (void)fixture.ask(request_bytes("1", "X-Time-Left: 60000\r\n"));
    const auto started_at = std::chrono::steady_clock::now();
    const auto answer = fixture.ask(request_bytes("2", "X-Time-Left: 60000\r\n"));
    BOOST_TEST((std::chrono::steady_clock::now() - started_at < 1s));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    const auto position = answer.find("Retry-After: ");
    BOOST_REQUIRE(position != std::string::npos);
    BOOST_TEST(std::stod(answer.substr(position + 13)) >= 1.0);
    BOOST_TEST(fixture.received().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
