#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/core/slot_request.hpp"
#include "hibiscusfall/scheduling/recent_samples.hpp"
#include "hibiscusfall/scheduling/scheduler_options.hpp"
#include "hibiscusfall/scheduling/ticket.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace hibiscusfall::scheduling
{

/// @brief What routers see of an endpoint's speed.
struct endpoint_speed {
    recent_samples first_token;    ///< In microseconds.
    recent_samples between_tokens; ///< In microseconds.
    double slowdown = 1.0;         ///< Against the other endpoints and the remembered level; 1 is normal.
};

/// @brief An endpoint's slots and condition.
struct endpoint_slots {
    std::uint32_t declared = 1;
    std::uint32_t limit = 1; ///< Slots given out at most: declared, less what slowness takes away.
    std::uint32_t busy = 0;
    std::uint32_t busy_long = 0;
    bool draining = false;
    bool removed = false;         ///< Gone from the configuration; kept while slots are in use.
    std::uint32_t failures = 0;   ///< In a row.
    core::instant failed_until{}; ///< The end of the pause after the last failure.
    core::instant closed_until{}; ///< No new work before, after failures or between probes.
    endpoint_speed speed;
};

/// @brief The endpoints that one scheduler owns.
struct endpoint_table {
    std::map<core::endpoint_id, endpoint_slots> entries;
    double remembered_first_token = 0;    ///< Normal level of the service, slowly adapted.
    double remembered_between_tokens = 0; ///< Likewise.
};

/// @brief Why an endpoint was chosen.
enum class choice_reason : std::uint8_t { only_one, earliest_finish, prefix };

/// @brief The endpoint for one ticket.
struct endpoint_choice {
    core::endpoint_id id;
    choice_reason reason = choice_reason::only_one;
    std::uint32_t alternatives = 0; ///< Endpoints that could have taken the ticket.
};

/// @brief Chooses by expected finish time; among nearly equal ones the same prefix goes to the same endpoint.
/// @param short_waits Whether short work waits, so that long work is limited.
[[nodiscard]] std::optional<endpoint_choice> choose_endpoint(const endpoint_table& table,
                                                             const scheduler_options& options,
                                                             const waiting_ticket& ticket,
                                                             bool short_waits,
                                                             core::instant now);

[[nodiscard]] bool takes_work(const endpoint_slots& endpoint, core::instant now) noexcept;

/// @brief Slots that could be given out now.
[[nodiscard]] std::uint32_t count_free(const endpoint_table& table, core::instant now) noexcept;

/// @brief Slots that the endpoints in service have together.
[[nodiscard]] std::uint32_t count_slots(const endpoint_table& table) noexcept;

void occupy(endpoint_table& table, const core::endpoint_id& id, bool is_long, core::instant now);
void vacate(endpoint_table& table, const core::endpoint_id& id, bool is_long);

/// @brief A request that holds a slot turned out to be long.
void mark_long(endpoint_table& table, const core::endpoint_id& id);

/// @brief What a running request has shown of its endpoint's speed.
struct running_request {
    std::uint64_t number = 0;     ///< Of its slot.
    core::duration first_token{}; ///< Time to the first byte, or how long it has waited; zero when unknown.
    core::duration between_tokens{}; ///< Since the last report; zero when unknown.
};

/// @brief Takes in how a request ended and adapts the endpoint's slot limit.
/// @param request Number of its slot.
void observe_release(endpoint_table& table,
                     const core::endpoint_id& id,
                     std::uint64_t request,
                     const core::slot_usage& usage,
                     core::instant now);

/// @brief Takes in the speed of a running request.
void observe_progress(endpoint_table& table,
                      const core::endpoint_id& id,
                      const running_request& seen,
                      core::instant now);

/// @brief Forgets what is old, so that an endpoint that was slow once is tried again. Call it every second.
void forget_old_samples(endpoint_table& table, core::instant now);

} // namespace hibiscusfall::scheduling
