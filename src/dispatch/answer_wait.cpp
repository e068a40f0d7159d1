#include "hibiscusfall/dispatch/answer_wait.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

constexpr core::duration min_patience = std::chrono::seconds{2};
constexpr int patience_per_first_event_target = 4;
constexpr int patience_per_gap_target = 8;
/// Percentage of the caller's patience for which an endpoint that still answers is waited for; the rest is
/// for the first event of the next endpoint.
constexpr int waiting_percent = 75;

} // namespace

core::duration caller_patience(core::duration first_event_target, core::duration event_gap_target) noexcept
{
    return std::max({min_patience,
                     first_event_target * patience_per_first_event_target,
                     event_gap_target * patience_per_gap_target});
}

wait_decision decide(const answer_wait& wait, core::instant now) noexcept
{
    const auto check_at = wait.silent_since + pause_before_check;
    if (now < check_at) {
        return {.step = wait_step::wait, .until = check_at};
    }
    const auto move_at = wait.silent_since + wait.caller_patience * waiting_percent / 100;
    if (now >= move_at || wait.check == endpoint_check::failed) {
        return {.step = wait_step::move};
    }
    const auto check_again_at = wait.last_received + pause_before_check;
    if (now < check_again_at) {
        return {.step = wait_step::wait, .until = std::min(move_at, check_again_at)};
    }
    return wait.check == endpoint_check::pending ? wait_decision{.step = wait_step::wait, .until = now}
                                                 : wait_decision{.step = wait_step::check_endpoint};
}

} // namespace hibiscusfall::dispatch
