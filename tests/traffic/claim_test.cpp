// How a request with an idempotency key uses its claim: once before dispatch, settled once whatever happens.
#include "test_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace hibiscusfall::testing;

namespace
{

/// Records claims and their settlements; what to decide is set by the test.
struct recording_claims {
    std::mutex mutex;
    core::claim_decision decision = core::claim_granted{.claim = 7};
    std::vector<core::claim_request> claims;
    std::vector<core::claim_outcome> outcomes;
    std::vector<std::uint64_t> settled; ///< The numbers of the settled claims.

    void connect(traffic::traffic_ports& ports)
    {
        ports.claim = [this](const core::claim_request& request) {
            const std::lock_guard lock(this->mutex);
            this->claims.push_back(request);
            return this->decision;
        };
        ports.settle = [this](std::uint64_t claim, const core::claim_outcome& outcome) {
            const std::lock_guard lock(this->mutex);
            this->settled.push_back(claim);
            this->outcomes.push_back(outcome);
        };
    }
};

/// A fleet with one booking endpoint and claims.
struct claiming_fleet {
    recording_claims claims;
    scripted_endpoint endpoint;
    test_fleet fleet;

    explicit claiming_fleet(scripted_endpoint::script script) : endpoint(std::move(script))
    {
        this->claims.connect(this->fleet.ports);
        this->fleet.add_endpoint("b1", "booking", this->endpoint.address());
        this->fleet.start();
    }

    caller_answer call() { return this->fleet.call(booking("Idempotency-Key: k1\r\n")); }
};

void answer_well(endpoint_connection& connection)
{
    while (connection.read_request()) {
        connection.write(json_answer(R"({"done":true})"));
    }
}

void answer_with_error(endpoint_connection& connection)
{
    if (connection.read_request()) {
        connection.write("HTTP/1.1 500 Failed\r\nContent-Type: application/json\r\nContent-Length: 22\r\n\r\n"
                         R"({"error":"overheated"})");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_test)

BOOST_AUTO_TEST_CASE(an_answered_request_is_settled_with_its_answer)
{
    claiming_fleet all(answer_well);
    BOOST_TEST(all.call().status == 200U);
    BOOST_TEST_REQUIRE(all.claims.claims.size() == 1U);
    const auto& claim = all.claims.claims.front();
    BOOST_TEST(claim.key == "k1");
    BOOST_TEST(claim.team.view() == "huts");
    BOOST_TEST(claim.home.view() == "a");
    BOOST_TEST_REQUIRE(all.claims.outcomes.size() == 1U);
    const auto& outcome = all.claims.outcomes.front();
    BOOST_TEST(all.claims.settled.front() == 7U);
    BOOST_TEST(outcome.result.answered());
    BOOST_TEST(outcome.status == 200);
    BOOST_TEST(outcome.body == R"({"done":true})");
    BOOST_TEST(outcome.body_kept);
}

BOOST_AUTO_TEST_CASE(a_request_without_a_key_claims_nothing)
{
    claiming_fleet all(answer_well);
    BOOST_TEST(all.fleet.call(booking()).status == 200U);
    BOOST_TEST(all.claims.claims.empty());
    BOOST_TEST(all.claims.outcomes.empty());
}

BOOST_AUTO_TEST_CASE(another_body_has_another_digest)
{
    claiming_fleet all(answer_well);
    BOOST_TEST(all.call().status == 200U);
    const std::string headers = "Authorization: Bearer huts-token\r\nIdempotency-Key: k1\r\n";
    const auto other =
        all.fleet.call(request_text("POST", "/services/booking/new", "{\"dryers\":7}", headers));
    BOOST_TEST(other.status == 200U);
    BOOST_TEST((all.claims.claims[0].body_digest != all.claims.claims[1].body_digest));
}

BOOST_AUTO_TEST_CASE(a_replayed_outcome_runs_nothing)
{
    claiming_fleet all(answer_well);
    all.claims.decision = core::claim_replayed{.outcome = {.result = core::verdict::ran(),
                                                           .status = 201,
                                                           .content_type = "application/json",
                                                           .body = "{\"number\":5}",
                                                           .body_kept = true}};
    const auto answer = all.call();
    BOOST_TEST(answer.status == 201U);
    BOOST_TEST(answer.body == "{\"number\":5}");
    BOOST_TEST(answer.headers.at("Hibiscusfall-Replayed") == "true");
    BOOST_TEST(answer.verdict() == "ran");
    all.claims.decision =
        core::claim_replayed{.outcome = {.result = core::verdict::ran(), .status = 200, .body_kept = false}};
    BOOST_TEST(all.call().code() == "answer-not-kept");
    all.claims.decision = core::claim_replayed{
        .outcome = {.result = core::verdict::may_have_run(core::failure::connection_broken, "x")}};
    BOOST_TEST(all.call().verdict() == "may-have-run");
    BOOST_TEST(all.endpoint.requests().empty());
    BOOST_TEST(all.claims.outcomes.empty());
    BOOST_TEST(all.fleet.granted() == 0U);
}

BOOST_AUTO_TEST_CASE(a_denied_claim_runs_nothing)
{
    claiming_fleet all(answer_well);
    all.claims.decision = core::claim_denied{
        .result = core::verdict::not_run(core::failure::claim_unsettled, "home is cut off"),
        .retry_after = std::chrono::seconds{2}};
    const auto answer = all.call();
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(answer.verdict() == "not-run");
    BOOST_TEST(answer.headers.at("Retry-After") == "2");
    BOOST_TEST(all.endpoint.requests().empty());
    BOOST_TEST(all.claims.outcomes.empty());
}

BOOST_AUTO_TEST_CASE(a_failed_run_is_settled_with_its_verdict)
{
    claiming_fleet all([](endpoint_connection& connection) { connection.read_request(); });
    BOOST_TEST(all.call().verdict() == "may-have-run");
    BOOST_TEST_REQUIRE(all.claims.outcomes.size() == 1U);
    BOOST_TEST(core::to_string(all.claims.outcomes.front().result.state) == "may-have-run");
    BOOST_TEST(!all.claims.outcomes.front().body_kept);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_never_sent_frees_its_key)
{
    recording_claims claims;
    test_fleet fleet;
    claims.connect(fleet.ports);
    fleet.start();
    BOOST_TEST(fleet.call(booking("Idempotency-Key: k1\r\n")).verdict() == "not-run");
    BOOST_TEST_REQUIRE(claims.outcomes.size() == 1U);
    BOOST_TEST(core::to_string(claims.outcomes.front().result.state) == "not-run");
}

BOOST_AUTO_TEST_CASE(an_error_of_an_earlier_attempt_is_not_kept_with_the_events_of_a_stream)
{
    scripted_endpoint failing{answer_with_error};
    scripted_endpoint streaming{[](endpoint_connection& connection) {
        if (connection.read_request()) {
            connection.write(stream_head() + event_chunks(0, 3) + stream_end());
        }
    }};
    recording_claims claims;
    test_fleet fleet;
    claims.connect(fleet.ports);
    fleet.add_endpoint("e1", "draft", failing.address());
    fleet.add_endpoint("e2", "draft", streaming.address());
    fleet.start();
    const auto answer = fleet.call(completion(true, "Idempotency-Key: k1\r\n"));
    BOOST_TEST(failing.requests().size() == 1U);
    BOOST_TEST_REQUIRE(claims.outcomes.size() == 1U);
    const auto& outcome = claims.outcomes.front();
    BOOST_TEST(outcome.body_kept);
    BOOST_TEST(outcome.body == answer.body);
}

BOOST_AUTO_TEST_CASE(an_error_that_its_caller_did_not_get_is_not_kept)
{
    for (const bool breaks_later : {false, true}) {
        scripted_endpoint failing{answer_with_error};
        scripted_endpoint breaking{[](endpoint_connection& connection) { connection.read_request(); }};
        recording_claims claims;
        test_fleet fleet;
        claims.connect(fleet.ports);
        fleet.add_endpoint("e1", "draft", failing.address());
        if (breaks_later) {
            fleet.add_endpoint("e2", "draft", breaking.address());
        }
        fleet.start();
        const auto answer = fleet.call(completion(false, "Idempotency-Key: k1\r\n"));
        BOOST_TEST(answer.verdict() == "may-have-run");
        BOOST_TEST(answer.body.find("overheated") == std::string::npos);
        BOOST_TEST(breaking.requests().size() == (breaks_later ? 1U : 0U));
        BOOST_TEST_REQUIRE(claims.outcomes.size() == 1U);
        const auto& outcome = claims.outcomes.front();
        BOOST_TEST(core::to_string(outcome.result.state) == "may-have-run");
        BOOST_TEST(outcome.status == 0);
        BOOST_TEST(outcome.body.empty());
    }
}

BOOST_AUTO_TEST_CASE(an_exception_settles_too)
{
    recording_claims claims;
    test_fleet fleet;
    claims.connect(fleet.ports);
    fleet.ports.acquire = [](const core::slot_request&, const std::function<bool()>&) -> core::slot_decision {
        throw std::runtime_error("out of memory");
    };
    fleet.start();
    const auto answer = fleet.call(booking("Idempotency-Key: k1\r\n"));
    BOOST_TEST(answer.status == 500U);
    BOOST_TEST(answer.verdict() == "not-run");
    BOOST_TEST_REQUIRE(claims.outcomes.size() == 1U);
    BOOST_TEST(core::to_string(claims.outcomes.front().result.state) == "not-run");
}

BOOST_AUTO_TEST_CASE(the_outcome_is_kept_when_the_caller_has_left)
{
    std::atomic<bool> go_on = false;
    claiming_fleet all([&](endpoint_connection& connection) {
        if (connection.read_request() && test_fleet::eventually([&] { return go_on.load(); })) {
            connection.write(json_answer(R"({"done":true})"));
            connection.wait_for_close();
        }
    });
    caller_connection caller(all.fleet.address());
    caller.write(booking("Idempotency-Key: k1\r\n"));
    BOOST_TEST(test_fleet::eventually([&] { return all.endpoint.requests().size() == 1; }));
    caller.close();
    go_on = true;
    BOOST_TEST(test_fleet::eventually([&] {
        const std::lock_guard lock(all.claims.mutex);
        return all.claims.outcomes.size() == 1;
    }));
    BOOST_TEST(all.claims.outcomes.front().result.answered());
    BOOST_TEST(all.fleet.slots_came_back());
}

BOOST_AUTO_TEST_SUITE_END()
