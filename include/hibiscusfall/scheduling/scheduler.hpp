#pragma once

#include "hibiscusfall/configuration/document.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/protocol/message.hpp"
#include "hibiscusfall/scheduling/account_book.hpp"
#include "hibiscusfall/scheduling/cost_estimates.hpp"
#include "hibiscusfall/scheduling/effects.hpp"
#include "hibiscusfall/scheduling/endpoint_table.hpp"
#include "hibiscusfall/scheduling/exchange_state.hpp"
#include "hibiscusfall/scheduling/lease_table.hpp"
#include "hibiscusfall/scheduling/scheduler_options.hpp"
#include "hibiscusfall/scheduling/scheduling_counters.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <span>

namespace hibiscusfall::scheduling
{

/// @brief The time in which a new scheduler asks the routers what they hold, and grants nothing.
struct rebuild_state {
    bool running = false;
    core::instant earliest_end{};
    core::instant latest_end{};
    std::set<core::instance_id> awaiting; ///< Routers that have not answered yet.
};

/// @brief How fast tickets got slots lately, while some had to wait all the time.
struct grant_pace {
    double per_second = 0; ///< Over the last whole window; 0 when the queue was empty in it.
    bool always_waiting = true;
    std::uint32_t in_window = 0;
    core::instant window_start{};
};

/// @brief What is acknowledged to one router with the next message to it, or soon.
struct pending_acknowledgement {
    protocol::scheduler_acknowledgement body;
    core::instant since{}; ///< When the oldest part came.
};

/// @brief The scheduler of one service in one failure domain, or of one shard of it.
///
/// @code
/// scheduler state{.options = {.self = id, .domain = domain, .service = service, .epoch = epoch}};
/// begin(state, routers, now, out);
/// on_configuration(state, document, shard_count, now, out);
/// on_open(state, sender, message, now, out);
/// @endcode
struct scheduler {
    scheduler_options options;
    account_book accounts;
    endpoint_table endpoints;
    lease_table leases;
    cost_estimates estimates;
    exchange_state exchange;
    rebuild_state rebuild;
    grant_pace pace;
    scheduling_counters counters;
    std::map<core::instance_id, pending_acknowledgement> acknowledgements;  ///< To be sent.
    std::map<core::instance_id, std::set<protocol::slot_id>> partial_lists; ///< Of slots, by router.
    bool service_has_endpoints = true; ///< Whether any failure domain has an endpoint in service.
    double worth_per_token = 0;        ///< Of the service, from the configuration.
    std::uint64_t last_slot = 0;
    core::instant next_review{};
};

/// @name Life
/// @brief Announces a new scheduler to the routers of its failure domain and starts rebuilding.
void begin(scheduler& state, std::span<const core::instance_id> routers, core::instant now, effects& out);

/// @brief Grants nothing for a while, because another instance has announced itself for the same role.
void yield_to_another(scheduler& state, core::instant now);

/// @brief Takes over shares and the endpoints of this shard.
void on_configuration(scheduler& state,
                      const configuration::document& document,
                      std::uint32_t shard_count,
                      core::instant now,
                      effects& out);

/// @brief Takes over who holds the schedulers of the service elsewhere.
void set_peers(scheduler& state, const std::map<peer_key, core::instance_id>& holders, core::instant now);

/// @brief Returns the slots and tickets of a router that is gone.
void on_router_gone(scheduler& state, const core::instance_id& router, core::instant now, effects& out);

/// @name Messages of routers
void on_open(scheduler& state,
             const protocol::sender& from,
             const protocol::ticket_open& message,
             core::instant now,
             effects& out);

void on_cancel(scheduler& state,
               const protocol::sender& from,
               const protocol::ticket_cancel& message,
               core::instant now,
               effects& out);

void on_release(scheduler& state,
                const protocol::sender& from,
                const protocol::slot_release& message,
                core::instant now,
                effects& out);

void on_renewal(scheduler& state,
                const protocol::sender& from,
                const protocol::lease_renewal& message,
                core::instant now,
                effects& out);

/// @name Messages of schedulers elsewhere
void on_summary(scheduler& state,
                const protocol::sender& from,
                const protocol::exchange_summary& message,
                core::instant now,
                effects& out);

void on_offer(scheduler& state,
              const protocol::sender& from,
              const protocol::slot_offer& message,
              core::instant now,
              effects& out);

void on_offer_answer(scheduler& state,
                     const protocol::sender& from,
                     const protocol::offer_answer& message,
                     core::instant now,
                     effects& out);

/// @name Time
/// @brief Ends leases, offers and deadlines, sends acknowledgements and summaries. Call it every 20 ms.
void on_tick(scheduler& state, core::instant now, effects& out);

/// @name Queries
[[nodiscard]] bool knows_slot(const scheduler& state, const protocol::slot_id& id);
[[nodiscard]] scheduler_figures figures_of(const scheduler& state);

} // namespace hibiscusfall::scheduling
