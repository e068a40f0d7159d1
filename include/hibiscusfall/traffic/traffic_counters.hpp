#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/core/verdict.hpp"
#include "hibiscusfall/telemetry/latency_recorder.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace hibiscusfall::traffic
{

/// @brief How many requests ended one way.
struct outcome_count {
    core::run_state state = core::run_state::not_run;
    core::failure reason = core::failure::none;
    std::uint64_t count = 0;
};

/// @brief What the callers' side of an instance has done since its start. All members may be used from any
/// thread.
struct traffic_counters {
    /// @name Events
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> attempts = 0; ///< Sends to endpoints.
    std::atomic<std::uint64_t> retries = 0;
    std::atomic<std::uint64_t> hedges = 0;
    std::atomic<std::uint64_t> hedges_won = 0;     ///< The second endpoint answered first.
    std::atomic<std::uint64_t> hedges_refused = 0; ///< The budget had none left.
    std::atomic<std::uint64_t> resumes = 0;
    std::atomic<std::uint64_t> moves = 0; ///< Streams that went on at another endpoint.
    std::atomic<std::uint64_t> cancels = 0;
    std::atomic<std::uint64_t> replays = 0;     ///< Answers to a repeated idempotency key.
    std::atomic<std::uint64_t> reused = 0;      ///< Sends over a kept connection.
    std::atomic<std::uint64_t> turned_away = 0; ///< Connections over the bound.
    std::atomic<std::uint64_t> tokens = 0;
    std::atomic<std::uint64_t> bytes_in = 0;  ///< Request bodies.
    std::atomic<std::uint64_t> bytes_out = 0; ///< Answer bodies.

    /// @name Levels
    std::atomic<std::int64_t> connections = 0;
    std::atomic<std::int64_t> waiting = 0;
    std::atomic<std::int64_t> in_flight = 0;

    /// @name Times
    telemetry::latency_recorder
        first_byte;                    ///< From the arrival of a request to the first byte of its answer.
    telemetry::latency_recorder whole; ///< From the arrival of a request to the end of its answer.
    telemetry::latency_recorder wait;  ///< For a slot.

    /// @name Outcomes
    void count_outcome(const core::verdict& outcome);

    /// @brief The outcomes that occurred.
    [[nodiscard]] std::vector<outcome_count> outcomes() const;

private:
    static constexpr std::size_t states = 3;
    static constexpr std::size_t reasons = 32;
    std::atomic<std::uint64_t> by_outcome[states][reasons] = {};
};

} // namespace hibiscusfall::traffic
