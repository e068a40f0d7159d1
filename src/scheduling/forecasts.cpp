#include "scheduler_steps.hpp"

#include <algorithm>

namespace hibiscusfall::scheduling::detail
{

namespace
{

constexpr core::duration advance_interval = std::chrono::milliseconds{100};

/// What the accounts hold of a forecast; below zero for one that was told after the last advance.
double counted(const exchange_state& exchange, const remote_team& known)
{
    return known.rate > 0 ? known.rate * core::seconds_between(known.told, exchange.advanced) : 0;
}

} // namespace

double
set_forecast(scheduler& state, remote_team& known, const core::team_id& team, double rate, core::instant now)
{
    auto& exchange = state.exchange;
    if (exchange.advanced == core::instant{}) {
        exchange.advanced = now;
    }
    const double before = counted(exchange, known);
    auto& sum = exchange.expected_rates[team];
    sum = std::max(0.0, sum - known.rate + rate);
    known.rate = rate;
    known.told = now;
    return counted(exchange, known) - before;
}

void advance_forecasts(scheduler& state, core::instant now)
{
    auto& exchange = state.exchange;
    if (exchange.advanced == core::instant{}) {
        exchange.advanced = now;
    }
    if (core::elapsed(exchange.advanced, now) < advance_interval) {
        return;
    }
    const double seconds = core::seconds_between(exchange.advanced, now);
    exchange.advanced = now;
    // Below this, nothing but rounding is left of a sum.
    constexpr double least_rate = 1e-6;
    for (auto item = exchange.expected_rates.begin(); item != exchange.expected_rates.end();) {
        const auto& [team, rate] = *item;
        if (rate < least_rate) {
            item = exchange.expected_rates.erase(item);
            continue;
        }
        add_remote_service(state.accounts, team, rate * seconds);
        ++item;
    }
}

} // namespace hibiscusfall::scheduling::detail
