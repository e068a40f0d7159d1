#include "relay_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;

BOOST_AUTO_TEST_SUITE(route_weight_test)

// Everything went to the last service of a route that the operator had taken all weights from.
BOOST_AUTO_TEST_CASE(a_route_whose_weights_are_all_zero_sends_requests_to_none_of_its_services)
{
    auto route = route_of(catalog::route_kind::idempotent);
    for (auto& each : route.services) {
        each.weight = 0;
    }
    const auto answering = [](endpoint_connection& connection) {
        while (const auto request = connection.read_request()) {
            connection.write(signed_answer(request->id, "done"));
        }
    };
    relay_fixture fixture{{answering}, route};
    const auto answer = fixture.ask(request_bytes("1"));
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(answer.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(fixture.received().empty());
}

BOOST_AUTO_TEST_SUITE_END()
