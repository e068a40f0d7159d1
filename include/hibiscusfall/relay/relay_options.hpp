#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/cold_endpoints.hpp"
#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/dispatch/repeat_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace hibiscusfall::relay
{

/// @brief Settings of a relay server.
struct relay_options {
    core::instance_id instance;
    core::failure_domain_id domain;
    core::address caller_address;    ///< Listening address for callers.
    core::address readiness_address; ///< Listening address for the load balancer's readiness check.
    core::address metrics_address{}; ///< Listening address of the metrics page; disabled when not set.
    dispatch::policy policy = dispatch::policy::engine_model;
    dispatch::repeat_limits retries;
    core::duration share_window = std::chrono::seconds{4}; ///< Window over which teams' shares are computed.
    core::duration shutdown_timeout = std::chrono::seconds{8}; ///< From the stop request to the forced exit.
    std::size_t buffer_bytes = std::size_t{100} << 20U; ///< Bytes of requests and responses held at once.
    std::size_t descriptors = 0; ///< That the process may open; zero if no limit is known.
    dispatch::cold_limits cold{};
    std::map<core::failure_domain_id, std::string> regions{}; ///< Of the failure domains.
    double second_send_limit = 0; ///< Share of a service's requests that may be sent twice; zero for none.
};

/// @brief Counters of a relay server since its start.
struct relay_counters {
    std::uint64_t connections = 0;
    std::uint64_t refused_connections = 0;     ///< Refused, as there were no descriptors to keep them.
    std::uint64_t closed_idle_connections = 0; ///< Closed for other connections before their idle timeout.
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;            ///< Final responses with the verdict "not run".
    std::uint64_t refused_over_share = 0; ///< Of these, refusals of teams that exceed their share.
    std::uint64_t failed = 0;             ///< Final responses with the verdict "may have run".
    std::uint64_t refused_buffers = 0;    ///< Of the refused ones, those whose bodies had no room here.
    std::uint64_t dropped_responses = 0;  ///< Responses of endpoints given up, as there was no room for them.
    std::uint64_t rejected = 0;           ///< Requests that are malformed or that no route allows.
    std::uint64_t timed_out = 0;
    std::uint64_t caller_disconnects = 0;
    std::uint64_t broken_streams = 0;
    std::uint64_t resumed_streams = 0;
    std::uint64_t retries = 0;
    std::uint64_t retries_denied = 0;
    std::uint64_t endpoint_crashes = 0;
    std::uint64_t refused_crash_cause = 0; ///< Refusals of requests to which crashes are attributed.
    std::uint64_t withdrawn_attempts = 0;  ///< Attempts cancelled for that reason before their answers began.
    std::uint64_t retries_withheld = 0;    ///< Retries not made, as the request may have caused a crash.
    std::uint64_t refused_take_ups = 0;    ///< Of streams that no endpoint is known to continue.
    std::uint64_t endpoint_checks = 0;     ///< Requests to silent endpoints whether they still answer.
    std::uint64_t unresponsive_endpoints = 0; ///< Of these, those without an answer.
    std::uint64_t moved_attempts = 0; ///< Attempts given up because they waited long, with a successor ready.
    std::uint64_t mismatched_responses = 0; ///< Endpoint responses whose request id is not the one expected.
    std::uint64_t cold_sends = 0;           ///< Requests sent to cold endpoints.
    std::uint64_t cold_sends_withheld = 0;  ///< Not sent, as the allowance of the cold endpoint was used up.
    std::uint64_t prefix_transfers = 0;   ///< Requests whose engine copies prompt segments from another one.
    std::uint64_t transferred_tokens = 0; ///< Expected size of these segments.
    std::uint64_t second_sends = 0;       ///< Requests sent to a second endpoint while the first was slow.
    std::uint64_t second_sends_won = 0;   ///< Of these, those answered by the second endpoint.
    std::uint64_t second_sends_lost = 0;  ///< Of these, those that ended without being answered from there.
    std::uint64_t second_sends_over_limit = 0;   ///< Not sent, because of the operators' limit.
    std::uint64_t second_sends_over_budget = 0;  ///< Not sent, as the budget of repeats was used up.
    std::uint64_t second_sends_without_room = 0; ///< Not sent, as no endpoint could have begun at once.
};

} // namespace hibiscusfall::relay
