#include "hibiscusfall/scheduling/scheduler.hpp"

namespace hibiscusfall::scheduling
{

scheduler_figures figures_of(const scheduler& state)
{
    scheduler_figures result{.counters = state.counters,
                             .waiting = state.accounts.places.size(),
                             .busy = state.leases.slots.size(),
                             .slots = count_slots(state.endpoints),
                             .rebuilding = state.rebuild.running,
                             .teams = {}};
    for (const auto& [id, account] : state.accounts.teams) {
        result.teams[id] = {.share = account.share,
                            .service = account.settled + account.running,
                            .virtual_service = account.virtual_service,
                            .waiting = account.waiting.size(),
                            .remote_backlog = account.remote_backlog};
    }
    return result;
}

} // namespace hibiscusfall::scheduling
