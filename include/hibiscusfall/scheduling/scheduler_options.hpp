#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <cstdint>

namespace hibiscusfall::scheduling
{

/// @brief Times and bounds of a scheduler.
struct scheduler_options {
    core::instance_id self;
    core::failure_domain_id domain;
    core::service_id service;
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0; ///< Unique over the fleet and all starts.

    /// @name Leases and takeover
    core::duration lease = std::chrono::milliseconds{1500};
    core::duration rebuild_shortest = std::chrono::milliseconds{50};
    core::duration rebuild_longest = std::chrono::milliseconds{150};
    core::duration grant_grace = std::chrono::seconds{1}; ///< A grant this young may still be on its way.

    /// @name Messages to routers
    /// Shorter than the time after which a router sends again; a grant takes acknowledgements along earlier.
    core::duration acknowledge_after = std::chrono::milliseconds{50};

    /// @name Queue
    std::size_t queue_per_team = 512;
    double ageing = 4.0; ///< A ticket is overtaken for at most this many times its expected run time.
    core::duration longest_ageing = std::chrono::seconds{10};
    double long_factor = 4.0;     ///< Work above this many mean run times counts as long.
    double long_slot_share = 0.5; ///< Part of an endpoint's slots for long work while short work waits.

    /// @name Exchange with the schedulers of the same service elsewhere
    core::duration exchange_interval = std::chrono::milliseconds{100};
    std::size_t exchange_fan_out = 2;
    std::size_t exchange_teams = 12;        ///< Teams in one summary at most.
    double exchange_teams_per_second = 160; ///< Over all summaries, so that bytes stay bounded.
    core::duration offer_timeout = std::chrono::milliseconds{20}; ///< An unanswered offer ends then.
    core::duration longest_offer_timeout = std::chrono::milliseconds{100};
    double offer_threshold = 1.0; ///< Lag, in mean requests per share, that makes an offer worth while.
    double catch_up_requests = 8; ///< Largest lead that a merge may leave, in largest requests per share.
};

} // namespace hibiscusfall::scheduling
