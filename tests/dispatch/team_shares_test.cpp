#include "hibiscusfall/dispatch/team_shares.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <numeric>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

constexpr core::instant start{1h};

dispatch::team_shares shares_of(double tokens_per_second)
{
    return {.tokens_per_second = tokens_per_second, .window = 4s, .teams = {}, .bucket_start = start};
}

} // namespace

BOOST_AUTO_TEST_SUITE(team_shares_test)

BOOST_AUTO_TEST_CASE(the_level_divides_the_supply_max_min)
{
    std::vector<double> demands{100, 10, 500};
    BOOST_TEST(dispatch::max_min_level(demands, 210) == 100.0);
    demands = {100, 10, 50};
    BOOST_TEST(dispatch::max_min_level(demands, 200) == 0.0);
}

BOOST_AUTO_TEST_CASE(demands_cut_to_the_level_add_up_to_the_supply)
{
    BOOST_TEST(rc::check("cut demands add up to the supply", [] {
        auto demands = *rc::gen::container<std::vector<double>>(
            rc::gen::map(rc::gen::inRange(0, 100000), [](int value) { return static_cast<double>(value); }));
        const double supply = *rc::gen::inRange(1, 200000);
        const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
        const double level = dispatch::max_min_level(demands, supply);
        if (level == 0) {
            RC_ASSERT(total <= supply);
            return;
        }
        const double cut = std::accumulate(demands.begin(), demands.end(), 0.0, [&](double sum, double each) {
            return sum + std::min(each, level);
        });
        RC_ASSERT(std::abs(cut - supply) < 1e-6 * supply);
    }));
}

BOOST_AUTO_TEST_CASE(a_small_team_gets_all_while_a_large_one_is_held_to_its_share)
{
    auto shares = shares_of(1000);
    dispatch::record_requested(shares, 1, 100000);
    dispatch::record_requested(shares, 2, 500);
    dispatch::advance(shares, start + 500ms);
    BOOST_TEST(shares.level == 3500.0);
    dispatch::record_granted(shares, 1, 3600);
    BOOST_TEST(!dispatch::within_share(shares, 1));
    dispatch::record_granted(shares, 2, 499);
    BOOST_TEST(dispatch::within_share(shares, 2));
}

BOOST_AUTO_TEST_CASE(what_is_given_beyond_a_share_is_bounded_and_only_unused_supply)
{
    auto shares = shares_of(1000);
    dispatch::record_requested(shares, 1, 100000);
    dispatch::record_requested(shares, 2, 100000);
    dispatch::advance(shares, start + 500ms);
    BOOST_TEST(shares.level == 2000.0);
    dispatch::record_granted(shares, 1, 2100);
    BOOST_TEST(dispatch::may_exceed_share(shares, 1));
    dispatch::record_granted(shares, 1, 1000);
    BOOST_TEST(!dispatch::may_exceed_share(shares, 1)); // 1.5 shares
    dispatch::record_granted(shares, 2, 2000);
    BOOST_TEST(!dispatch::may_exceed_share(shares, 2)); // nothing unused
}

BOOST_AUTO_TEST_CASE(a_larger_supply_does_not_let_a_team_run_ahead_of_one_that_waits)
{
    auto shares = shares_of(1000);
    shares.overcommit_factor = 1.6;
    dispatch::record_requested(shares, 1, 100000);
    dispatch::record_requested(shares, 2, 100000);
    dispatch::advance(shares, start + 500ms);
    double had = 0;
    while (dispatch::within_share(shares, 1) || dispatch::may_exceed_share(shares, 1)) {
        dispatch::record_granted(shares, 1, 100);
        had += 100;
    }
    BOOST_TEST(had * 0.6 <= shares.level); // a waiting team has its share: well over half of this
}

BOOST_AUTO_TEST_CASE(the_window_slides)
{
    auto shares = shares_of(1000);
    dispatch::record_requested(shares, 1, 100000);
    dispatch::record_granted(shares, 1, 5000);
    dispatch::advance(shares, start + 500ms);
    BOOST_TEST(!dispatch::within_share(shares, 1));
    dispatch::advance(shares, start + 5s);
    BOOST_TEST(dispatch::within_share(shares, 1));
    BOOST_TEST(shares.teams.empty());
}

BOOST_AUTO_TEST_SUITE_END()
