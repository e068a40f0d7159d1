#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/traffic/request_budget.hpp"

#include <cstdint>
#include <optional>

namespace hibiscusfall::traffic
{

/// @brief Learns one quantile of the time to the first byte, in constant memory.
/// @remarks Each sample moves the estimate by a fixed relative step, up or down, so that one extreme sample
/// cannot throw it off.
struct first_byte_estimate {
    double seconds = 0;        ///< The estimate; 0 before the first sample.
    std::uint32_t samples = 0; ///< Counted up to the number that is needed.
};

/// @brief When a second endpoint is asked.
struct hedge_limits {
    double quantile = 0.9;             ///< Of the time to the first byte.
    double factor = 2.0;               ///< Hedge after this many times the quantile.
    std::uint32_t samples_needed = 20; ///< No hedge before.
    core::duration shortest = std::chrono::milliseconds{20};
    double step = 0.05; ///< Relative step of the estimate.
};

/// @brief Notes a time to the first byte. For a request that was cancelled it is the time waited so far.
void observe(first_byte_estimate& estimate, core::duration first_byte, const hedge_limits& limits);

/// @brief How long to wait for the first byte before a second endpoint is asked; nothing while unknown.
[[nodiscard]] std::optional<core::duration> hedge_delay(const first_byte_estimate& estimate,
                                                        const hedge_limits& limits);

} // namespace hibiscusfall::traffic
