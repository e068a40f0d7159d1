// Each fault of an endpoint, with the verdict that the caller gets, checked against what the endpoints
// recorded.
#include "test_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;

namespace
{

std::string id_header(const received_request& request)
{
    return "X-Request-Id: " + request.id + "\r\n";
}

void answer_well(endpoint_connection& connection)
{
    while (const auto request = connection.read_request()) {
        connection.write(json_answer(R"({"done":true})", id_header(*request)));
    }
}

/// Answers every request with a fixed text, then closes.
scripted_endpoint::script answer_once(std::string text)
{
    return [text = std::move(text)](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write(text);
        }
    };
}

/// A fleet whose endpoint e1 misbehaves and whose e2 is well; e1 is always tried first.
struct faulty_fleet {
    scripted_endpoint faulty;
    scripted_endpoint well{answer_well};
    test_fleet fleet;

    explicit faulty_fleet(scripted_endpoint::script script, const std::string& service = "booking")
        : faulty(std::move(script))
    {
        this->fleet.add_endpoint("e1", service, this->faulty.address());
        this->fleet.add_endpoint("e2", service, this->well.address());
        this->fleet.start();
    }
};

/// A booking that e1 may have run must not be sent to e2, and the caller must hear it.
void check_may_have_run(scripted_endpoint::script script, const std::string& code, unsigned status)
{
    faulty_fleet all(std::move(script));
    const auto answer = all.fleet.call(booking());
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.status == status);
    BOOST_TEST(answer.verdict() == "may-have-run");
    BOOST_TEST(answer.code() == code);
    BOOST_TEST(all.faulty.requests().size() == 1U);
    BOOST_TEST(all.well.requests().empty());
    BOOST_TEST(all.fleet.slots_came_back());
    BOOST_TEST(!all.fleet.usages().front().answered);
}

/// An address of loopback where nothing listens.
core::address closed_address()
{
    const scripted_endpoint gone{answer_well};
    return gone.address();
}

constexpr unsigned bad_gateway = 502;

} // namespace

BOOST_AUTO_TEST_SUITE(verdict_test)

BOOST_AUTO_TEST_CASE(a_whole_answer_says_that_the_request_ran)
{
    scripted_endpoint well{answer_well};
    test_fleet fleet;
    fleet.add_endpoint("e1", "booking", well.address());
    fleet.start();
    const auto answer = fleet.call(booking());
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.verdict() == "ran");
    BOOST_TEST(answer.body == R"({"done":true})");
    BOOST_TEST(well.requests().size() == 1U);
    BOOST_TEST(fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(no_connection_means_not_run)
{
    test_fleet fleet;
    fleet.add_endpoint("e1", "booking", closed_address());
    fleet.start();
    const auto answer = fleet.call(booking());
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(answer.verdict() == "not-run");
    BOOST_TEST(answer.code() == "connection-failed");
    BOOST_TEST(answer.headers.contains("Retry-After"));
    BOOST_TEST(fleet.slots_came_back());
    BOOST_TEST(fleet.usages().front().endpoint_failed);
}

BOOST_AUTO_TEST_CASE(what_is_not_run_is_sent_elsewhere)
{
    scripted_endpoint well{answer_well};
    test_fleet fleet;
    fleet.add_endpoint("e1", "booking", closed_address());
    fleet.add_endpoint("e2", "booking", well.address());
    fleet.start();
    BOOST_TEST(fleet.call(booking()).verdict() == "ran");
    BOOST_TEST(well.requests().size() == 1U);
    BOOST_TEST(fleet.callers().counters().retries.load() == 1U);
    BOOST_TEST(fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(the_endpoints_own_word_means_not_run)
{
    faulty_fleet all(answer_once("HTTP/1.1 503 Busy\r\nX-Request-Run: no\r\nContent-Length: 0\r\n\r\n"));
    BOOST_TEST(all.fleet.call(booking()).verdict() == "ran");
    BOOST_TEST(all.faulty.requests().size() == 1U);
    BOOST_TEST(all.well.requests().size() == 1U);
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_connection_reset_at_once_is_never_run_twice)
{
    faulty_fleet all([](endpoint_connection& connection) { connection.reset(); });
    const auto answer = all.fleet.call(booking());
    // Whether a byte was handed to the connection first is a matter of time; either way the word is true.
    const bool ran = answer.verdict() == "ran" && all.well.requests().size() == 1;
    const bool unknown = answer.verdict() == "may-have-run" && all.well.requests().empty();
    BOOST_TEST((ran || unknown));
    BOOST_TEST(all.faulty.requests().empty());
}

BOOST_AUTO_TEST_CASE(closing_after_the_request)
{
    check_may_have_run(answer_once(""), "connection-broken", bad_gateway);
}

BOOST_AUTO_TEST_CASE(a_length_longer_than_the_body)
{
    check_may_have_run(
        answer_once("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort"), "connection-broken", bad_gateway);
}

BOOST_AUTO_TEST_CASE(a_length_shorter_than_the_body)
{
    check_may_have_run(answer_once("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                   "Content-Length: 6\r\n\r\n{\"done\":true}"),
                       "garbled-answer",
                       bad_gateway);
}

BOOST_AUTO_TEST_CASE(a_garbled_chunk)
{
    check_may_have_run(
        answer_once("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n"),
        "garbled-answer",
        bad_gateway);
}

BOOST_AUTO_TEST_CASE(chunks_without_the_last_one)
{
    check_may_have_run(answer_once("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
                       "connection-broken",
                       bad_gateway);
}

BOOST_AUTO_TEST_CASE(an_answer_without_a_length)
{
    check_may_have_run(answer_once("HTTP/1.1 200 OK\r\n\r\nhello"), "garbled-answer", bad_gateway);
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_not_http)
{
    check_may_have_run(answer_once("220 mail ready\r\n\r\n"), "garbled-answer", bad_gateway);
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request)
{
    check_may_have_run(answer_once(json_answer(R"({"done":true})", "X-Request-Id: other\r\n")),
                       "garbled-answer",
                       bad_gateway);
}

BOOST_AUTO_TEST_CASE(an_answer_after_the_deadline)
{
    faulty_fleet all([](endpoint_connection& connection) {
        connection.read_request();
        connection.wait_for_close();
        connection.write(json_answer("{}"));
    });
    const auto answer = all.fleet.call(booking("X-Deadline-Ms: 100\r\n"));
    BOOST_TEST(answer.status == 504U);
    BOOST_TEST(answer.verdict() == "may-have-run");
    BOOST_TEST(answer.code() == "deadline");
    BOOST_TEST(!answer.headers.contains("Retry-After"));
    BOOST_TEST(all.well.requests().empty());
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_server_error_is_passed_on_as_may_have_run)
{
    faulty_fleet all(answer_once("HTTP/1.1 500 Fault\r\nContent-Length: 4\r\n\r\noops"));
    const auto answer = all.fleet.call(booking());
    BOOST_TEST(answer.status == 500U);
    BOOST_TEST(answer.verdict() == "may-have-run");
    BOOST_TEST(answer.body == "oops");
    BOOST_TEST(all.well.requests().empty());
}

BOOST_AUTO_TEST_CASE(a_repeatable_request_that_may_have_run_is_sent_elsewhere)
{
    faulty_fleet all(answer_once(""), "draft");
    const auto answer = all.fleet.call(completion(false));
    BOOST_TEST(answer.verdict() == "ran");
    BOOST_TEST(all.faulty.requests().size() == 1U);
    BOOST_TEST(all.well.requests().size() == 1U);
    BOOST_TEST(all.well.requests().front().id == all.faulty.requests().front().id);
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_spent_retry_budget_ends_retries)
{
    scripted_endpoint faulty{answer_once("")};
    scripted_endpoint well{answer_well};
    traffic::caller_server_options options;
    options.retry_fraction = 0;
    options.extra_reserve = 1;
    test_fleet fleet(options);
    fleet.add_endpoint("e1", "draft", faulty.address());
    fleet.add_endpoint("e2", "draft", well.address());
    fleet.start();
    BOOST_TEST(fleet.call(completion(false)).verdict() == "ran");
    const auto second = fleet.call(completion(false));
    BOOST_TEST(second.verdict() == "may-have-run");
    BOOST_TEST(second.code() == "retry-budget-spent");
    BOOST_TEST(well.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(kept_connections_are_used_again_for_repeatable_requests_only)
{
    scripted_endpoint drafts{answer_well};
    scripted_endpoint bookings{answer_well};
    test_fleet fleet;
    fleet.add_endpoint("d1", "draft", drafts.address());
    fleet.add_endpoint("b1", "booking", bookings.address());
    fleet.start();
    for (int round = 0; round < 3; ++round) {
        BOOST_TEST(fleet.call(completion(false)).verdict() == "ran");
        BOOST_TEST(fleet.call(booking()).verdict() == "ran");
    }
    BOOST_TEST(fleet.callers().counters().reused.load() == 2U);
}

BOOST_AUTO_TEST_CASE(a_stale_kept_connection_costs_no_retry)
{
    // Each connection answers one request properly, then closes on the second one.
    scripted_endpoint drafts{[](endpoint_connection& connection) {
        if (const auto request = connection.read_request()) {
            connection.write(json_answer("{}", id_header(*request)));
            connection.read_request();
        }
    }};
    test_fleet fleet;
    fleet.add_endpoint("d1", "draft", drafts.address());
    fleet.start();
    BOOST_TEST(fleet.call(completion(false)).verdict() == "ran");
    BOOST_TEST(fleet.call(completion(false)).verdict() == "ran");
    BOOST_TEST(fleet.callers().counters().reused.load() == 1U);
    BOOST_TEST(fleet.callers().counters().retries.load() == 0U);
    BOOST_TEST(fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(a_refusal_written_again_denies_no_other_request)
{
    // The first connection refuses and writes its refusal again for each further request that it runs.
    std::atomic<int> connections{0};
    scripted_endpoint drafts{[&connections](endpoint_connection& connection) {
        const bool refuses = connections++ == 0;
        while (connection.read_request()) {
            connection.write(refuses ? "HTTP/1.1 503 Busy\r\nX-Request-Run: no\r\nContent-Length: 0\r\n\r\n"
                                     : json_answer("{}"));
        }
    }};
    test_fleet fleet;
    fleet.add_endpoint("d1", "draft", drafts.address());
    fleet.start();
    BOOST_TEST(fleet.call(completion(false)).verdict() == "not-run");
    BOOST_TEST(fleet.call(completion(false)).verdict() == "ran");
}

BOOST_AUTO_TEST_CASE(an_answer_without_an_id_that_is_written_again_reaches_no_other_request)
{
    // From its second request on, a connection brings the first answer once more before the right one.
    scripted_endpoint drafts{[](endpoint_connection& connection) {
        std::string first;
        while (const auto request = connection.read_request()) {
            const auto answer = json_answer("\"" + request->id + "\"");
            connection.write(first);
            connection.write(answer);
            first = first.empty() ? answer : first;
        }
    }};
    test_fleet fleet;
    fleet.add_endpoint("d1", "draft", drafts.address());
    fleet.start();
    for (int i = 0; i < 3; ++i) {
        const auto answer = fleet.call(completion(false));
        BOOST_TEST(answer.verdict() == "ran");
        BOOST_TEST(answer.body == "\"" + drafts.requests().back().id + "\"");
    }
}

BOOST_AUTO_TEST_CASE(
    a_request_sent_on_a_kept_connection_may_have_run_if_its_endpoint_then_refuses_connections)
{
    scripted_endpoint drafts{[](endpoint_connection& connection) {
        if (const auto request = connection.read_request()) {
            connection.write(json_answer("{}", id_header(*request)));
            if (connection.read_request()) {
                connection.crash_endpoint();
            }
        }
    }};
    test_fleet fleet;
    fleet.add_endpoint("d1", "draft", drafts.address());
    fleet.start();
    BOOST_TEST(fleet.call(completion(false)).verdict() == "ran");
    const auto answer = fleet.call(completion(false));
    BOOST_TEST(drafts.requests().size() == 2U);
    BOOST_TEST(answer.verdict() == "may-have-run");
    BOOST_TEST(answer.code() == "connection-failed");
    BOOST_TEST(fleet.slots_came_back());
}

BOOST_AUTO_TEST_CASE(an_answer_does_not_cost_the_tokens_of_an_earlier_attempt_that_failed)
{
    scripted_endpoint failing{[](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write(
                "HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\nContent-Length: 35\r\n\r\n"
                R"({"usage":{"completion_tokens":100}})");
        }
    }};
    scripted_endpoint well{answer_well};
    test_fleet fleet;
    fleet.add_endpoint("d1", "draft", failing.address());
    fleet.add_endpoint("d2", "draft", well.address());
    fleet.start();
    BOOST_TEST(fleet.call(completion(false)).verdict() == "ran");
    BOOST_TEST(failing.requests().size() == 1U);
    BOOST_TEST(fleet.slots_came_back());
    const auto usages = fleet.usages();
    BOOST_TEST_REQUIRE(usages.size() == 2U);
    BOOST_TEST(usages[1].answered);
    BOOST_TEST(usages[1].cost == 1);
}

BOOST_AUTO_TEST_SUITE_END()
