#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>

namespace hibiscusfall::dispatch
{

/// @brief Current decode speed of an engine, derived from the gaps between the events of its streams.
/// @remarks Detects engines slowed for some hundred ms by other load on their host. Load reports and first
/// tokens show such a slowdown only after it has ended, the next event of a running stream within 100 ms.
struct engine_pace {
    /// Event gap of a stream without concurrent prefill; zero before the first sample.
    double usual_gap_ms = 0;
    double slowdown = 1;             ///< Factor by which the engine was slower than normal at @c observed_at.
    core::instant observed_at{};     ///< By any instance.
    core::instant own_observed_at{}; ///< By this instance.
};

/// @brief Prefill load of an engine at the time of a stream's last event.
struct event_snapshot {
    core::instant at{};
    double queued_tokens = 0;      ///< Prompt tokens not processed yet.
    std::uint64_t sent_tokens = 0; ///< The engine's @c sent_tokens.
};

/// @brief Longest gap between two events at normal speed if at most @p tokens prompt tokens are processed
/// meanwhile.
/// @param tokens_per_event Of the service: the number of decode steps between two events.
[[nodiscard]] double
max_usual_gap_ms(const engine_pace& pace, double tokens, std::uint32_t tokens_per_event) noexcept;

/// @brief Updates the speed from the gap between two events of one stream.
/// @param tokens Upper bound of the prompt tokens that the engine processed meanwhile.
void record_event_gap(engine_pace& pace,
                      core::duration gap,
                      double tokens,
                      std::uint32_t tokens_per_event,
                      core::instant now) noexcept;

/// @brief Applies a slowdown reported by another instance, unless this one has a recent observation of its
/// own.
void record_peer_slowdown(engine_pace& pace, double slowdown, core::instant now) noexcept;

/// @brief Factor by which the engine is slower than normal; 1 without a recent observation.
[[nodiscard]] double current_slowdown(const engine_pace& pace, core::instant now) noexcept;

/// @brief Slowdown recently observed by this instance, for reports to peers; zero if there is none.
[[nodiscard]] double own_slowdown(const engine_pace& pace, core::instant now) noexcept;

/// @brief Whether a slowdown factor is significant.
[[nodiscard]] bool is_slowed(double slowdown) noexcept;

/// @brief Expected duration, on an engine whose current slowdown will end soon, of work that normally takes
/// @p usual.
[[nodiscard]] core::duration
slowed_duration(const engine_pace& pace, core::duration usual, core::instant now) noexcept;

} // namespace hibiscusfall::dispatch
