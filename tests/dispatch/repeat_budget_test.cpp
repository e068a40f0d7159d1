#include "hibiscusfall/dispatch/repeat_budget.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};

/// When requests were first sent, and when repeats were granted.
struct sends {
    std::vector<core::instant> firsts;
    std::vector<core::instant> repeats;
};

std::size_t within(const std::vector<core::instant>& times, core::instant from, core::duration length)
{
    return static_cast<std::size_t>(
        std::count_if(times.begin(), times.end(), [&](auto at) { return at > from && at <= from + length; }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(repeat_budget_test)

BOOST_AUTO_TEST_CASE(no_window_over_all_instances_exceeds_the_budget)
{
    BOOST_TEST(rc::check("the sum of all instances keeps within the whole", [] {
        const dispatch::repeat_limits limits{.ratio = 0.2, .slack = 50, .window = 10s};
        const auto instances = *rc::gen::inRange(1U, 8U);
        std::vector<dispatch::repeat_budget> budgets(instances);
        sends seen;
        auto now = start;
        for (int i = 0; i < 2000; ++i) {
            now += std::chrono::milliseconds{*rc::gen::inRange(0, 30)};
            auto& budget = budgets[*rc::gen::inRange(0U, instances)];
            if (*rc::gen::inRange(0, 3) == 0) {
                dispatch::record_request(budget, limits, now);
                seen.firsts.push_back(now);
            } else if (dispatch::try_take_repeat(budget, limits, instances, now)) {
                seen.repeats.push_back(now);
            }
        }
        for (const auto at : seen.repeats) {
            const auto from = at - 10s;
            const auto firsts = std::max({within(seen.firsts, from, 10s),
                                          within(seen.firsts, from - 10s, 10s),
                                          within(seen.firsts, from - 5s, 10s)});
            RC_ASSERT(static_cast<double>(within(seen.repeats, from, 10s)) <=
                      0.2 * static_cast<double>(firsts) + 50.0);
        }
    }));
}

BOOST_AUTO_TEST_CASE(an_instance_that_was_idle_starts_with_an_empty_window)
{
    const dispatch::repeat_limits limits{.ratio = 0, .slack = 5, .window = 10s};
    dispatch::repeat_budget budget;
    int granted = 0;
    while (dispatch::try_take_repeat(budget, limits, 1, start)) {
        ++granted;
    }
    BOOST_TEST(granted == 4);
    BOOST_TEST(!dispatch::try_take_repeat(budget, limits, 1, start + 9s));
    BOOST_TEST(dispatch::try_take_repeat(budget, limits, 1, start + 60s));
}

BOOST_AUTO_TEST_SUITE_END()
