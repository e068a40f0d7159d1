#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/dispatch/repeat_budget.hpp"

namespace hibiscusfall::relay
{

/// @brief Settings of an entry.
struct entry_options {
    core::instance_id instance;
    core::failure_domain_id domain;
    core::address callers;   ///< Where callers connect.
    core::address readiness; ///< Where the balancer asks whether this instance takes callers.
    core::address metrics{}; ///< Where the metrics page is served; none when not set.
    dispatch::policy policy = dispatch::policy::engine_model;
    dispatch::repeat_limits repeats;
    core::duration share_window = std::chrono::seconds{4}; ///< Over which teams' shares are taken.
    core::duration stop_limit = std::chrono::seconds{8};   ///< From the order to stop to the forced end.
};

/// @brief What an entry has counted since its start.
struct entry_counters {
    std::uint64_t connections = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;       ///< Final answers "not run".
    std::uint64_t refused_share = 0; ///< Of these, for teams beyond their share.
    std::uint64_t failed = 0;        ///< Final answers "may have run".
    std::uint64_t rejected = 0;      ///< Requests that no configuration allows.
    std::uint64_t timed_out = 0;
    std::uint64_t callers_gone = 0;
    std::uint64_t broken_streams = 0;
    std::uint64_t resumed_streams = 0;
    std::uint64_t repeats = 0;
    std::uint64_t repeats_denied = 0;
    std::uint64_t foreign_answers = 0; ///< Answers of endpoints that belonged to another request.
};

} // namespace hibiscusfall::relay
