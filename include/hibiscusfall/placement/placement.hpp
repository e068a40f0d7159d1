#pragma once

#include "hibiscusfall/configuration/document.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusfall::placement
{

/// @brief Times and rates of placement.
struct placement_options {
    core::failure_domain_id domain;
    std::uint32_t loads_per_minute = 30; ///< What the weight store bears for this domain; 0 for no orders.
    core::duration lease_length = std::chrono::seconds{10};
    core::duration renew_interval = std::chrono::seconds{2};
    core::duration acquire_interval = std::chrono::seconds{3};

    /// At endpoints that ignore fencing numbers orders stop so long before the lease ends.
    core::duration stop_margin = std::chrono::seconds{4};
    /// And the next holder waits so long before its first order there.
    core::duration grace = std::chrono::seconds{5};

    core::duration order_timeout = std::chrono::seconds{3};
    core::duration first_retry = std::chrono::seconds{2};
    core::duration longest_retry = std::chrono::seconds{60};
    core::duration confirm_again = std::chrono::minutes{10}; ///< A loaded endpoint is asked again then.
};

/// @brief Sets the length of the lease and, in proportion, the times that depend on it.
/// @remarks An order must arrive within stop_margin and grace together, which are 0.9 of the length, so
/// that it cannot cross with one of the next holder.
void set_lease_length(placement_options& options, core::duration length);

/// @brief What an order asks for.
enum class order_kind : std::uint8_t {
    role, ///< Take a role; the name is the role's.
    load  ///< Load a model; the name is the model's.
};

/// @brief One thing that an endpoint is to be or to have.
struct order_subject {
    order_kind kind = order_kind::load;
    std::string name;

    [[nodiscard]] friend bool operator==(const order_subject&, const order_subject&) = default;
};

/// @brief One order to an endpoint.
struct order {
    core::endpoint_id endpoint;
    core::address to;
    order_subject subject;
    std::uint64_t fencing = 0;   ///< Grows from each holder of the lease to the next.
    core::instant valid_until{}; ///< It must not be sent later, by this process's monotonic clock.
};

/// @brief How an order ended.
enum class order_outcome : std::uint8_t {
    done,
    lost, ///< No answer, or an error; it is given again later.
    stale ///< The endpoint knows a higher fencing number.
};

/// @brief One subject at one endpoint, and when it is to be ordered.
struct order_task {
    order_subject subject;
    bool ready = false; ///< The last order at this address was carried out.
    core::instant due{};
    core::duration retry{};
};

/// @brief What is known of one endpoint of the domain.
struct endpoint_state {
    core::service_id service;
    core::address address;
    bool checks_fencing = false;
    bool draining = false;
    std::vector<order_task> tasks; ///< Its role, where it has one, the model of its service, further models.
};

/// @brief The order that has not ended yet.
struct pending_order {
    core::endpoint_id endpoint;
    order_subject subject;
    core::instant due{}; ///< It counts as lost then.
};

/// @brief The lease as this instance knows it.
struct held_lease {
    std::uint64_t fencing = 0;
    core::instant acquired{};
    core::instant until{}; ///< Counted from before the call that obtained or renewed it.
};

/// @brief What placement wants done.
struct placement_effects {
    bool acquire = false;
    bool renew = false;
    bool release = false;
    std::optional<order> give;
};

/// @brief Placement of one failure domain as seen by one instance.
struct placement {
    placement_options options;
    bool candidate = false; ///< First in the order of its failure domain.
    std::optional<held_lease> lease;
    bool calling_store = false;
    core::instant next_call{};
    std::map<core::endpoint_id, endpoint_state> endpoints;
    std::optional<pending_order> ordering; ///< One order at a time.
    core::instant next_load{};
};

/// @name Events
void on_candidate(placement& state, bool candidate, placement_effects& out);
void on_configuration(placement& state, const configuration::document& document);

/// @param asked When the call was about to be made; the lease is counted from there.
void on_acquired(placement& state, std::uint64_t fencing, core::instant asked, core::instant now);
void on_acquire_failed(placement& state, core::instant now);

/// @param held Whether the store still holds the lease; nothing when it gave no answer.
void on_renewed(placement& state, std::optional<bool> held, core::instant asked, core::instant now);
void on_order_ended(placement& state,
                    const core::endpoint_id& endpoint,
                    std::uint64_t fencing,
                    order_outcome outcome,
                    core::instant now,
                    placement_effects& out);
void on_tick(placement& state, core::instant now, placement_effects& out);

} // namespace hibiscusfall::placement
