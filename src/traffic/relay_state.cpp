#include "relay_state.hpp"

#include <utility>

namespace hibiscusfall::traffic::detail
{

namespace
{

constexpr std::size_t cancel_threads = 2;

} // namespace

relay_state::relay_state(const caller_server_options& given, traffic_ports given_ports)
    : options(given), ports(std::move(given_ports)),
      cancels(cancel_threads), waiting{.per_team = given.queue_per_team,
                                       .total = given.queue_total,
                                       .waiting = {},
                                       .waiting_total = 0},
      retry_budget(make_budget(given.retry_fraction, given.extra_reserve)),
      hedge_budget(make_budget(given.hedge_fraction, given.extra_reserve))
{
}

std::optional<core::verdict> relay_state::check_waiting_room(const core::team_id& team)
{
    const std::lock_guard lock(this->mutex);
    return check_room(this->waiting, team);
}

std::optional<core::verdict> relay_state::enter_waiting(const core::team_id& team)
{
    const std::lock_guard lock(this->mutex);
    auto refusal = enter(this->waiting, team);
    if (!refusal) {
        ++this->counters.waiting;
    }
    return refusal;
}

void relay_state::leave_waiting(const core::team_id& team)
{
    const std::lock_guard lock(this->mutex);
    leave(this->waiting, team);
    --this->counters.waiting;
}

void relay_state::note_request()
{
    ++this->counters.requests;
    const std::lock_guard lock(this->mutex);
    earn(this->retry_budget);
    earn(this->hedge_budget);
}

retry_decision relay_state::decide(const failed_attempt& failed)
{
    const std::lock_guard lock(this->mutex);
    return decide_retry(failed, this->options.retries, this->retry_budget);
}

retry_decision relay_state::decide(const stranded_stream& stranded)
{
    const std::lock_guard lock(this->mutex);
    return decide_move(stranded, this->options.retries, this->retry_budget);
}

void relay_state::note_rest(const core::endpoint_id& endpoint, core::duration retry_after)
{
    const std::lock_guard lock(this->mutex);
    traffic::note_rest(this->rests, endpoint, retry_after, std::chrono::steady_clock::now());
}

std::vector<core::endpoint_id> relay_state::resting_endpoints()
{
    const std::lock_guard lock(this->mutex);
    return resting(this->rests, std::chrono::steady_clock::now());
}

bool relay_state::spend_hedge()
{
    const std::lock_guard lock(this->mutex);
    return spend(this->hedge_budget);
}

std::optional<core::duration> relay_state::hedge_after(const core::service_id& service, bool streamed)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->estimates.find({.service = service, .streamed = streamed});
    return found == this->estimates.end() ? std::nullopt : hedge_delay(found->second, this->options.hedges);
}

void relay_state::note_first_byte(const core::service_id& service, bool streamed, core::duration first_byte)
{
    const std::lock_guard lock(this->mutex);
    observe(this->estimates[{.service = service, .streamed = streamed}], first_byte, this->options.hedges);
}

waiting_place::~waiting_place()
{
    if (!this->refused) {
        this->state.leave_waiting(this->owner);
    }
}

} // namespace hibiscusfall::traffic::detail
