#include "hibiscusfall/claims/claim_keeper.hpp"

#include "keeper_steps.hpp"

namespace hibiscusfall::claims
{

namespace detail
{

void set_role(claim_keeper& keeper, keeper_role role, core::instant now, effects& out)
{
    if (keeper.role == role) {
        return;
    }
    keeper.role = role;
    keeper.role_since = now;
    out.events.push_back(telemetry::log_event{"claim_keeper"}
                             .with("domain", keeper.copy.shard.domain.view())
                             .with("shard", keeper.copy.shard.number)
                             .with("role", to_string(role))
                             .with("term", keeper.term)
                             .with("claims", keeper.copy.table.claims.size()));
}

void step_down(claim_keeper& keeper, std::string_view reason, core::instant now, effects& out)
{
    out.events.push_back(telemetry::log_event{"claim_keeper_deposed"}
                             .with("domain", keeper.copy.shard.domain.view())
                             .with("shard", keeper.copy.shard.number)
                             .with("term", keeper.term)
                             .with("reason", reason));
    keeper.held_back.clear();
    keeper.waiters.clear();
    keeper.waiter_count = 0;
    keeper.replicas.clear();
    keeper.promised.clear();
    keeper.promise_cursors.clear();
    keeper.fenced_since.reset();
    const auto call = keeper.store.call;
    const auto step = keeper.store.step;
    keeper.store = {.step = step, .call = call, .next_call = now + keeper.options.takeover_interval};
    set_role(keeper, keeper_role::idle, now, out);
}

} // namespace detail

namespace
{

void step_down_if_overtaken(claim_keeper& keeper, core::instant now, effects& out)
{
    if (keeper.role > keeper_role::taking && keeper.copy.promised > keeper.term) {
        detail::step_down(keeper, "another instance has a higher term", now, out);
    }
}

} // namespace

void add(keeper_counters& to, const keeper_counters& other) noexcept
{
    to.granted += other.granted;
    to.replayed += other.replayed;
    to.refused += other.refused;
    to.settled += other.settled;
    to.takeovers += other.takeovers;
    to.store_reads += other.store_reads;
    to.store_writes += other.store_writes;
    to.conflicts += other.conflicts;
    to.expired += other.expired;
}

void on_view(claim_keeper& keeper, keeper_view view, core::instant now, effects& out)
{
    if (!view.chosen) {
        keeper.chosen_since.reset();
    } else if (!keeper.chosen_since) {
        keeper.chosen_since = now;
    }
    keeper.view = std::move(view);
    detail::retry_all_waiters(keeper, now, out);
}

void on_append(claim_keeper& keeper,
               const protocol::sender& from,
               const protocol::claim_append& message,
               core::instant now,
               effects& out)
{
    on_append(keeper.copy, from, message, now, out);
    step_down_if_overtaken(keeper, now, out);
}

void on_promise_ask(claim_keeper& keeper,
                    const protocol::sender& from,
                    const protocol::claim_promise_ask& message,
                    core::instant now,
                    effects& out)
{
    on_promise_ask(keeper.copy, from, message, now, out);
    step_down_if_overtaken(keeper, now, out);
}

void on_tick(claim_keeper& keeper, core::instant now, effects& out)
{
    keeper.counters.expired += expire(keeper.copy.table, now);
    if (keeper.role == keeper_role::proving) {
        detail::prove(keeper, now, out);
    }
    detail::replicate(keeper, now, out);
    detail::call_store(keeper, now, out);
}

std::string_view to_string(keeper_role value) noexcept
{
    switch (value) {
    case keeper_role::idle:
        return "idle";
    case keeper_role::reading:
        return "reading";
    case keeper_role::taking:
        return "taking";
    case keeper_role::proving:
        return "proving";
    case keeper_role::installing:
        return "installing";
    case keeper_role::serving:
        return "serving";
    }
    return "idle";
}

} // namespace hibiscusfall::claims
