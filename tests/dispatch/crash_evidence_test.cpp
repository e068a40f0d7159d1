#include "hibiscusfall/dispatch/crash_attribution.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusfall;
using namespace hibiscusfall::dispatch;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};
constexpr std::uint64_t crashing = 501;
constexpr team_tag huts = 11;
constexpr team_tag schools = 12;

void crash(crash_attribution& state,
           endpoint_tag endpoint,
           core::instant at,
           std::uint64_t digest,
           team_tag team = huts)
{
    const crash_suspect suspect{.endpoint = endpoint, .team = team, .traits = {digest}, .crashed_at = at};
    (void)record_suspect(state, suspect, at);
}

bool rejects(const crash_attribution& state, core::instant now)
{
    return find_cause(state, {.segments = {}, .digest = crashing}, huts, now) != nullptr;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_evidence_test)

BOOST_AUTO_TEST_CASE(a_cause_is_kept_when_a_failing_rack_displaces_its_suspects)
{
    crash_attribution state;
    crash(state, 1, start, crashing);
    crash(state, 2, start + 1s, crashing);
    update_causes(state, start + 1s);
    BOOST_TEST_REQUIRE(rejects(state, start + 1s));
    for (std::uint64_t i = 0; i < max_suspects; ++i) {
        crash(state, 100 + i / 32, start + 2s, 10000 + i, schools);
    }
    update_causes(state, start + 2s);
    BOOST_TEST(rejects(state, start + 3s));
}

BOOST_AUTO_TEST_CASE(a_request_that_comes_once_in_65_s_is_found_to_crash_endpoints)
{
    crash_attribution state;
    std::uint32_t crashes = 0;
    for (auto now = start; now < start + 1300s; now += 65s) {
        expire(state, now);
        if (!rejects(state, now)) {
            (void)record_sending(state, {.segments = {}, .digest = crashing}, huts, now);
            crash(state, ++crashes, now, crashing);
            update_causes(state, now);
        }
    }
    BOOST_TEST(crashes <= 6U);
}

BOOST_AUTO_TEST_CASE(a_trial_whose_result_is_never_known_is_not_made_again_and_again)
{
    crash_attribution state;
    crash(state, 1, start, crashing);
    crash(state, 2, start + 1s, crashing);
    update_causes(state, start + 1s);
    std::uint32_t sent = 0;
    for (auto now = start + 2s; now < start + 600s; now += 1s) {
        expire(state, now);
        if (!rejects(state, now)) {
            (void)record_sending(state, {.segments = {}, .digest = crashing}, huts, now);
            ++sent; // its caller leaves before the endpoint ends, so that no suspect is recorded
        }
    }
    BOOST_TEST(sent <= 3U);
}

BOOST_AUTO_TEST_SUITE_END()
