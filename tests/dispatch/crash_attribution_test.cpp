#include "hibiscusfall/dispatch/crash_attribution.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace hibiscusfall;
using namespace hibiscusfall::dispatch;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};
constexpr std::uint64_t first = 1;
constexpr std::uint64_t document = 2;
constexpr std::uint64_t crashing = 3;
constexpr team_tag huts = 11;
constexpr team_tag schools = 12;

/// The traits of a prompt of shared segments, followed by the request's own one.
request_traits make_prompt(std::vector<std::uint64_t> shared)
{
    static std::uint64_t own = 1000000;
    prompt result;
    for (const auto id : shared) {
        result.segments.push_back({.id = id, .tokens = 100});
    }
    result.segments.push_back({.id = ++own, .tokens = 20});
    return traits_of(&result);
}

/// An engine crashes while these prompts wait for their answers to begin.
void crash(crash_attribution& state,
           endpoint_tag endpoint,
           core::instant at,
           const std::vector<request_traits>& waiting,
           team_tag team = huts)
{
    for (const auto& each : waiting) {
        (void)record_suspect(
            state,
            {.endpoint = endpoint, .team = team, .traits = suspect_traits(state, each, at), .crashed_at = at},
            at);
    }
}

bool rejects(crash_attribution state,
             std::vector<std::uint64_t> shared,
             core::instant now,
             team_tag team = huts)
{
    update_causes(state, now);
    return find_cause(state, make_prompt(std::move(shared)), team, now) != nullptr;
}

crash_attribution after_two_crashes()
{
    crash_attribution state;
    crash(state, 1, start, {make_prompt({first, document, crashing})});
    crash(state, 2, start + 1s, {make_prompt({first, document, crashing})});
    update_causes(state, start + 1s);
    return state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(crash_attribution_test)

BOOST_AUTO_TEST_CASE(a_segment_of_two_separate_crashes_is_rejected_and_other_segments_are_served)
{
    crash_attribution state;
    record_start(state, make_prompt({first}), start);
    crash(state, 1, start, {make_prompt({first, crashing}), make_prompt({first, 20})});
    BOOST_TEST(!rejects(state, {first, crashing}, start));
    crash(state, 2, start + 1s, {make_prompt({first, crashing}), make_prompt({first, 21})});
    BOOST_TEST(rejects(state, {first, crashing}, start + 1s));
    BOOST_TEST(rejects(state, {first, 22, crashing}, start + 1s));
    BOOST_TEST(!rejects(state, {first}, start + 1s));
    BOOST_TEST(!rejects(state, {first, 20}, start + 1s));
    BOOST_TEST(!rejects(state, {first, 21}, start + 1s));
}

BOOST_AUTO_TEST_CASE(sound_requests_that_share_a_segment_with_crashing_ones_are_served)
{
    auto state = after_two_crashes();
    BOOST_TEST(!rejects(state, {first, document}, start + 1s));
    BOOST_TEST(!rejects(state, {first}, start + 1s));
    record_start(state, make_prompt({first, document}), start + 2s);
    BOOST_TEST(rejects(state, {99, crashing}, start + 2s));
    BOOST_TEST(!rejects(state, {first, document}, start + 2s));
}

BOOST_AUTO_TEST_CASE(the_last_segment_of_a_prompt_is_never_blamed)
{
    crash_attribution state;
    prompt generation;
    generation.segments = {{.id = crashing, .tokens = 10}};
    const auto own = traits_of(&generation);
    crash(state, 1, start, {own});
    crash(state, 2, start + 1s, {own});
    BOOST_TEST(state.suspects.empty());
    BOOST_TEST(find_cause(state, own, huts, start + 1s) == nullptr);
}

BOOST_AUTO_TEST_CASE(the_first_segment_is_blamed_when_it_crashes_engines)
{
    crash_attribution state;
    crash(state, 1, start, {make_prompt({crashing, 20})});
    crash(state, 2, start + 1s, {make_prompt({crashing, 21})});
    BOOST_TEST(rejects(state, {crashing, 22}, start + 1s));
    BOOST_TEST(!rejects(state, {20}, start + 1s));
}

BOOST_AUTO_TEST_CASE(engines_that_crash_together_blame_no_prompt)
{
    crash_attribution state;
    for (endpoint_tag engine = 1; engine <= 30; ++engine) {
        crash(state, engine, start + 5ms * static_cast<int>(engine), {make_prompt({first, document})});
    }
    BOOST_TEST(!rejects(state, {first, document}, start + 1s));
}

BOOST_AUTO_TEST_CASE(one_crash_that_many_instances_report_again_and_again_counts_once)
{
    crash_attribution state;
    const std::vector<std::uint64_t> segments{crashing};
    for (int i = 0; i < 20; ++i) {
        (void)record_suspect(
            state,
            {.endpoint = 1, .team = huts, .traits = segments, .crashed_at = start + 400ms * (i % 5)},
            start + 100ms * i);
    }
    BOOST_TEST(state.suspects.size() == 1U);
    BOOST_TEST(!rejects(state, {crashing}, start + 2s));
}

BOOST_AUTO_TEST_CASE(the_order_in_which_reports_arrive_does_not_matter)
{
    BOOST_TEST(rc::check("suspects and answers in any order, some of them twice", [] {
        struct finding {
            bool answer = false;
            crash_suspect suspect;
        };
        std::vector<finding> all;
        for (endpoint_tag engine = 1; engine <= 4; ++engine) {
            all.push_back({.suspect = {.endpoint = engine,
                                       .team = huts,
                                       .traits = {first, document, crashing},
                                       .crashed_at = start + 1s * static_cast<int>(engine)}});
        }
        all.push_back({.answer = true, .suspect = {.traits = {document}, .crashed_at = start + 5s}});
        all.push_back({.answer = true, .suspect = {.traits = {first}, .crashed_at = start + 5s}});
        all.push_back(all[*rc::gen::inRange<std::size_t>(0, all.size())]);
        std::mt19937 random{*rc::gen::arbitrary<std::uint32_t>()};
        std::shuffle(all.begin(), all.end(), random);
        crash_attribution state;
        for (const auto& each : all) {
            if (each.answer) {
                record_exoneration(state, each.suspect.traits.front(), each.suspect.crashed_at);
            } else {
                (void)record_suspect(state, each.suspect, start + 6s);
            }
        }
        update_causes(state, start + 6s);
        RC_ASSERT(state.causes.size() == 1U);
        RC_ASSERT(state.causes.front().traits == std::vector<std::uint64_t>{crashing});
    }));
}

BOOST_AUTO_TEST_CASE(two_crashing_segments_at_a_time_are_both_found)
{
    crash_attribution state;
    const std::uint64_t other = 4;
    record_start(state, make_prompt({first}), start + 1s);
    for (endpoint_tag engine = 1; engine <= 6; ++engine) {
        const auto segment = engine % 2 == 0 ? crashing : other;
        crash(state,
              engine,
              start + 500ms * static_cast<int>(engine),
              {make_prompt({first, segment}), make_prompt({first, 100 + engine})});
    }
    BOOST_TEST(rejects(state, {crashing}, start + 3s));
    BOOST_TEST(rejects(state, {other}, start + 3s));
    BOOST_TEST(!rejects(state, {103}, start + 3s));
}

BOOST_AUTO_TEST_CASE(a_crashing_segment_is_found_beside_another_whose_crashes_are_ambiguous)
{
    crash_attribution state;
    for (endpoint_tag engine = 1; engine <= 4; ++engine) {
        const auto at = start + 1s * static_cast<int>(engine);
        crash(state,
              engine,
              at,
              engine <= 2 ? std::vector{make_prompt({20}), make_prompt({21})}
                          : std::vector{make_prompt({crashing})});
    }
    BOOST_TEST(rejects(state, {crashing}, start + 4s));
    BOOST_TEST(!rejects(state, {20}, start + 4s));
    BOOST_TEST(!rejects(state, {21}, start + 4s));
}

BOOST_AUTO_TEST_CASE(of_two_segments_with_the_same_two_crashes_neither_is_blamed_before_the_third)
{
    crash_attribution state;
    for (endpoint_tag engine = 1; engine <= 2; ++engine) {
        crash(state,
              engine,
              start + 1s * static_cast<int>(engine),
              {make_prompt({crashing}), make_prompt({document})});
    }
    BOOST_TEST(!rejects(state, {crashing}, start + 2s));
    BOOST_TEST(!rejects(state, {document}, start + 2s));
    crash(state, 3, start + 3s, {make_prompt({crashing})});
    BOOST_TEST(rejects(state, {crashing}, start + 3s));
    BOOST_TEST(!rejects(state, {document}, start + 3s));
}

BOOST_AUTO_TEST_CASE(a_team_cannot_get_segments_of_another_team_rejected)
{
    auto state = after_two_crashes();
    BOOST_TEST(rejects(state, {first, document, crashing}, start + 1s, huts));
    BOOST_TEST(!rejects(state, {first, document, crashing}, start + 1s, schools));
    crash(state, 3, start + 2s, {make_prompt({first, document, crashing})}, schools);
    BOOST_TEST(rejects(state, {first, document, crashing}, start + 2s, schools));
    BOOST_TEST(rejects(state, {first, document, crashing}, start + 2s, 13));
}

BOOST_AUTO_TEST_CASE(an_answer_on_a_segment_withdraws_the_wrong_cause)
{
    auto state = after_two_crashes();
    const auto exonerated = record_start(state, make_prompt({first, document, crashing}), start + 2s);
    BOOST_TEST(exonerated.size() == 3U);
    BOOST_TEST(!rejects(state, {first, document, crashing}, start + 2s));
    update_causes(state, start + 2s);
    BOOST_TEST(state.causes.empty());
}

BOOST_AUTO_TEST_CASE(a_segment_answered_before_the_crash_is_not_blamed_for_it)
{
    crash_attribution state;
    record_start(state, make_prompt({first, document}), start);
    crash(state, 1, start + 1s, {make_prompt({first, document})});
    crash(state, 2, start + 2s, {make_prompt({first, document})});
    BOOST_TEST(state.suspects.empty());
    // An instance that hears of a suspect tells that it has seen the answer.
    const auto exonerated = record_suspect(
        state, {.endpoint = 3, .team = huts, .traits = {document}, .crashed_at = start + 2s}, start + 2s);
    BOOST_TEST(exonerated == std::vector<std::uint64_t>{document}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(after_the_hold_one_crash_is_enough_and_the_hold_doubles)
{
    auto state = after_two_crashes();
    const auto trial = start + 1s + initial_hold;
    BOOST_TEST(rejects(state, {crashing, first, document}, trial - 1s));
    expire(state, trial);
    BOOST_TEST(!rejects(state, {crashing, first, document}, trial));
    crash(state, 9, trial + 1s, {make_prompt({first, document, crashing})});
    BOOST_TEST(rejects(state, {crashing, first, document}, trial + 1s + initial_hold));
    BOOST_TEST(rejects(state, {crashing, first, document}, trial + 2 * initial_hold));
    BOOST_TEST(!rejects(state, {crashing, first, document}, trial + 1s + 2 * initial_hold));
}

BOOST_AUTO_TEST_CASE(instances_try_a_segment_again_one_after_another)
{
    auto state = after_two_crashes();
    state.trial_offset = 5s;
    BOOST_TEST(rejects(state, {crashing, first, document}, start + 1s + initial_hold + 4s));
    BOOST_TEST(!rejects(state, {crashing, first, document}, start + 1s + initial_hold + 5s));
}

BOOST_AUTO_TEST_CASE(a_cause_outlives_the_restart_of_its_finder_and_is_not_kept_alive_by_repetition)
{
    const auto finder = after_two_crashes();
    crash_attribution restarted;
    (void)record_cause(restarted, finder.causes.front(), start + 30s);
    BOOST_TEST(rejects(restarted, {first, document, crashing}, start + 30s));
    const auto late = start + 1s + initial_hold;
    (void)record_cause(restarted, finder.causes.front(), late);
    BOOST_TEST(!rejects(restarted, {first, document, crashing}, late));
}

BOOST_AUTO_TEST_CASE(a_cause_that_was_withdrawn_is_not_taken_back_from_a_peer_that_missed_it)
{
    const auto peer = after_two_crashes();
    auto state = after_two_crashes();
    record_start(state, make_prompt({first, document, crashing}), start + 2s);
    const auto exonerated = record_cause(state, peer.causes.front(), start + 3s);
    BOOST_TEST(exonerated.size() == 3U);
    BOOST_TEST(!rejects(state, {first, document, crashing}, start + 3s));
}

BOOST_AUTO_TEST_CASE(a_request_like_a_suspect_is_a_suspect_until_an_answer_has_begun)
{
    crash_attribution state;
    crash(state, 1, start, {make_prompt({first, crashing})});
    BOOST_TEST(is_suspect(state, make_prompt({first, crashing})));
    BOOST_TEST(is_suspect(state, make_prompt({first, 20})));
    BOOST_TEST(!is_suspect(state, make_prompt({20})));
    record_start(state, make_prompt({first}), start + 100ms);
    BOOST_TEST(!is_suspect(state, make_prompt({first, 20})));
    BOOST_TEST(is_suspect(state, make_prompt({first, crashing})));
}

BOOST_AUTO_TEST_CASE(any_number_of_segments_and_crashes_takes_bounded_memory)
{
    crash_attribution state;
    std::vector<std::uint64_t> many(1000);
    for (endpoint_tag engine = 1; engine <= 2000; ++engine) {
        const auto now = start + 10ms * static_cast<int>(engine);
        std::generate(many.begin(), many.end(), [next = engine * 5000ULL]() mutable { return next++; });
        crash(state, engine, now, {make_prompt(many)});
        record_start(state, make_prompt(many), now);
        if (engine % 100 == 0) {
            expire(state, now);
        }
    }
    BOOST_TEST(state.suspects.size() <= max_suspects);
    BOOST_TEST(state.suspects.back().traits.size() <= max_suspect_traits);
    expire(state, start + 30min);
    BOOST_TEST(
        state.suspects.size() + state.causes.size() + state.answered.size() + state.exonerated.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
