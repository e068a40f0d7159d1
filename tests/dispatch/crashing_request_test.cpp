#include "hibiscusfall/dispatch/crash_attribution.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace hibiscusfall;
using namespace hibiscusfall::dispatch;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};
constexpr std::uint64_t crashing = 501;
constexpr std::uint64_t sound = 502;
constexpr std::uint64_t shared = 7;
constexpr team_tag huts = 11;
constexpr team_tag schools = 12;

request_traits plain(std::uint64_t digest)
{
    return {.segments = {}, .digest = digest};
}

request_traits with_prompt(std::uint64_t digest)
{
    return {.segments = {shared}, .digest = digest};
}

/// A request is in progress at an endpoint that crashes.
crash_suspect suspect(const crash_attribution& state,
                      endpoint_tag endpoint,
                      core::instant at,
                      const request_traits& request,
                      team_tag team = huts)
{
    return {
        .endpoint = endpoint, .team = team, .traits = suspect_traits(state, request, at), .crashed_at = at};
}

void crash(crash_attribution& state,
           endpoint_tag endpoint,
           core::instant at,
           const std::vector<request_traits>& in_progress,
           team_tag team = huts)
{
    for (const auto& each : in_progress) {
        (void)record_suspect(state, suspect(state, endpoint, at, each, team), at);
    }
    update_causes(state, at);
}

void answer(crash_attribution& state, const request_traits& request, core::instant at)
{
    (void)record_answer(state, request, at);
    update_causes(state, at);
}

bool rejects(const crash_attribution& state,
             const request_traits& request,
             core::instant now,
             team_tag team = huts)
{
    return find_cause(state, request, team, now) != nullptr;
}

crash_attribution after_two_crashes()
{
    crash_attribution state;
    crash(state, 1, start, {plain(crashing)});
    crash(state, 2, start + 1s, {plain(crashing)});
    return state;
}

/// Sends one request each time the hold allows it, and lets each crash its endpoint, for a length of time.
std::uint32_t count_trials(crash_attribution& state, core::instant from, core::duration length)
{
    std::uint32_t sent = 0;
    for (auto now = from; now < from + length; now += 5s) {
        expire(state, now);
        if (!rejects(state, plain(crashing), now)) {
            (void)record_sending(state, plain(crashing), huts, now);
            crash(state, 1000 + ++sent, now + 1s, {plain(crashing)});
        }
    }
    return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashing_request_test)

BOOST_AUTO_TEST_CASE(a_request_without_a_prompt_is_rejected_after_two_crashes_and_others_are_served)
{
    crash_attribution state;
    crash(state, 1, start, {plain(crashing), plain(601), plain(602)});
    BOOST_TEST(!rejects(state, plain(crashing), start));
    crash(state, 2, start + 1s, {plain(603), plain(crashing)});
    BOOST_TEST(rejects(state, plain(crashing), start + 1s));
    for (const std::uint64_t other : {601U, 602U, 603U, 604U}) {
        BOOST_TEST(!rejects(state, plain(other), start + 1s));
    }
}

BOOST_AUTO_TEST_CASE(a_request_is_recognised_when_all_its_segments_are_exonerated)
{
    crash_attribution state;
    crash(state, 1, start, {with_prompt(crashing)});
    (void)record_start(state, with_prompt(sound), start + 500ms);
    crash(state, 2, start + 1s, {with_prompt(crashing)});
    (void)record_start(state, with_prompt(sound), start + 1500ms);
    update_causes(state, start + 1500ms);
    BOOST_TEST(rejects(state, with_prompt(crashing), start + 2s));
    BOOST_TEST(!rejects(state, with_prompt(sound), start + 2s));
}

BOOST_AUTO_TEST_CASE(an_answer_to_another_request_on_the_same_segments_does_not_clear_a_request)
{
    crash_attribution state;
    crash(state, 1, start, {with_prompt(crashing)});
    crash(state, 2, start + 1s, {with_prompt(crashing)});
    (void)record_start(state, with_prompt(sound), start + 2s);
    answer(state, with_prompt(sound), start + 3s);
    BOOST_TEST(rejects(state, with_prompt(crashing), start + 3s));
}

BOOST_AUTO_TEST_CASE(the_beginning_of_an_answer_does_not_clear_a_request_and_its_end_does)
{
    auto state = after_two_crashes();
    (void)record_start(state, plain(crashing), start + 2s);
    update_causes(state, start + 2s);
    BOOST_TEST(rejects(state, plain(crashing), start + 2s));
    answer(state, plain(crashing), start + 3s);
    BOOST_TEST(!rejects(state, plain(crashing), start + 3s));
    BOOST_TEST(state.causes.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_was_answered_between_two_crashes_in_which_it_was_cut_is_not_rejected)
{
    crash_attribution state;
    crash(state, 1, start, {plain(sound)});
    answer(state, plain(sound), start + 500ms);
    crash(state, 2, start + 5s, {plain(sound)});
    BOOST_TEST(!rejects(state, plain(sound), start + 5s));
}

BOOST_AUTO_TEST_CASE(a_request_cut_by_endpoints_that_crash_together_is_not_rejected)
{
    crash_attribution state;
    for (endpoint_tag endpoint = 1; endpoint <= 4; ++endpoint) {
        crash(state, endpoint, start + 50ms * static_cast<int>(endpoint), {plain(sound)});
    }
    BOOST_TEST(!rejects(state, plain(sound), start + 1s));
}

BOOST_AUTO_TEST_CASE(a_stream_that_its_instance_resumed_into_the_second_crash_does_not_delay_the_verdict)
{
    crash_attribution state;
    for (endpoint_tag endpoint = 1; endpoint <= 2; ++endpoint) {
        const auto at = start + 1s * static_cast<int>(endpoint);
        auto stream = suspect(state, endpoint, at, plain(sound));
        stream.arrival = 77;
        (void)record_suspect(state, stream, at);
        crash(state, endpoint, at, {plain(crashing)});
    }
    BOOST_TEST(rejects(state, plain(crashing), start + 2s));
    BOOST_TEST(!rejects(state, plain(sound), start + 2s));
}

BOOST_AUTO_TEST_CASE(a_request_repeated_into_the_second_crash_is_not_blamed_with_the_crashing_one)
{
    crash_attribution state;
    crash(state, 1, start, {plain(crashing), plain(sound)});
    crash(state, 2, start + 1s, {plain(crashing), plain(sound)});
    BOOST_TEST(!rejects(state, plain(sound), start + 1s));
    crash(state, 3, start + 2s, {plain(crashing)});
    BOOST_TEST(rejects(state, plain(crashing), start + 2s));
    BOOST_TEST(!rejects(state, plain(sound), start + 2s));
}

BOOST_AUTO_TEST_CASE(
    a_request_whose_instance_repeats_it_into_a_second_crash_is_not_rejected_before_it_arrives_again)
{
    crash_attribution state;
    for (endpoint_tag endpoint = 1; endpoint <= 3; ++endpoint) {
        const auto at = start + 1s * static_cast<int>(endpoint);
        auto cut = suspect(state, endpoint, at, plain(crashing));
        cut.arrival = endpoint <= 2 ? 41 : 42;
        (void)record_suspect(state, cut, at);
        update_causes(state, at);
        BOOST_TEST(rejects(state, plain(crashing), at) == (endpoint == 3));
    }
}

BOOST_AUTO_TEST_CASE(a_team_cannot_get_the_same_request_of_another_team_rejected)
{
    const auto state = after_two_crashes();
    BOOST_TEST(rejects(state, plain(crashing), start + 1s, huts));
    BOOST_TEST(!rejects(state, plain(crashing), start + 1s, schools));
}

BOOST_AUTO_TEST_CASE(while_the_result_of_a_trial_is_awaited_no_other_request_is_sent)
{
    auto state = after_two_crashes();
    const auto trial = start + 1s + initial_hold;
    BOOST_TEST(!rejects(state, plain(crashing), trial));
    BOOST_TEST(record_sending(state, plain(crashing), huts, trial).size() == 1U);
    BOOST_TEST(rejects(state, plain(crashing), trial + 1ms));
    BOOST_TEST(!rejects(state, plain(sound), trial + 1ms));
    answer(state, plain(crashing), trial + 2s);
    BOOST_TEST(!rejects(state, plain(crashing), trial + 2s));
}

BOOST_AUTO_TEST_CASE(a_trial_that_never_ran_is_followed_by_another_one)
{
    auto state = after_two_crashes();
    const auto trial = start + 1s + initial_hold;
    (void)record_sending(state, plain(crashing), huts, trial);
    BOOST_TEST(rejects(state, plain(crashing), trial + trial_time - 1ms));
    BOOST_TEST(!rejects(state, plain(crashing), trial + trial_time));
}

BOOST_AUTO_TEST_CASE(an_instance_that_hears_of_a_trial_sends_none_beside_it)
{
    auto state = after_two_crashes();
    auto peer = after_two_crashes();
    const auto trial = start + 1s + initial_hold;
    const auto tried = record_sending(peer, plain(crashing), huts, trial);
    BOOST_REQUIRE(tried.size() == 1U);
    (void)record_cause(state, tried.front(), trial + 100ms);
    BOOST_TEST(rejects(state, plain(crashing), trial + 100ms));
    crash_attribution restarted;
    (void)record_cause(restarted, tried.front(), trial + 100ms);
    BOOST_TEST(rejects(restarted, plain(crashing), trial + 100ms));
}

BOOST_AUTO_TEST_CASE(trials_crash_no_more_than_three_endpoints_after_the_third_crash_within_a_day)
{
    auto state = after_two_crashes();
    crash(state, 3, start + 2s, {plain(crashing)});
    BOOST_TEST(count_trials(state, start + 3s, 20h) <= 3U);
    BOOST_TEST(rejects(state, plain(crashing), start + 20h));
}

BOOST_AUTO_TEST_CASE(a_caller_with_ever_new_crashing_requests_takes_bounded_memory_and_the_newest_is_held)
{
    crash_attribution state;
    std::uint64_t digest = 10000;
    for (endpoint_tag endpoint = 1; endpoint <= 600; endpoint += 2) {
        const auto at = start + 400ms * static_cast<int>(endpoint);
        ++digest;
        crash(state, endpoint, at, {plain(digest)});
        crash(state, endpoint + 1, at + 400ms, {plain(digest)});
        BOOST_TEST(rejects(state, plain(digest), at + 400ms));
        BOOST_TEST(!rejects(state, plain(sound), at + 400ms));
        expire(state, at);
    }
    BOOST_TEST(state.causes.size() <= max_causes);
    BOOST_TEST(state.suspects.size() <= max_suspects);
}

BOOST_AUTO_TEST_CASE(an_endpoint_with_a_long_queue_does_not_push_the_earlier_crash_out_of_memory)
{
    crash_attribution state;
    crash(state, 1, start, {plain(crashing)});
    std::vector<request_traits> queue{plain(crashing)};
    for (std::uint64_t i = 0; i < 300; ++i) {
        queue.push_back(plain(20000 + i));
    }
    crash(state, 2, start + 1s, queue);
    BOOST_TEST(rejects(state, plain(crashing), start + 1s));
}

BOOST_AUTO_TEST_SUITE_END()
