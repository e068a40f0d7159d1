#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>

namespace hibiscusfall::dispatch
{

/// @brief How fast an engine makes tokens just now, seen from the time between the events of its streams.
/// @remarks Answers engines that are slowed for some hundred ms by neighbours: their reports and first tokens
/// tell it when it is over, the next event of a running stream within a tenth of a second.
struct engine_pace {
    double event_ms = 0; ///< Between two events of a stream while no prompt is read; zero before the first.
    double slowness = 1; ///< By what factor the engine was slower than usual when it was last seen.
    core::instant seen_at{};     ///< By any instance.
    core::instant own_seen_at{}; ///< By this one.
};

/// @brief What an engine had to read when a stream's last event came.
struct event_mark {
    core::instant at{};
    double unread = 0;            ///< Tokens not read yet.
    std::uint64_t sent_total = 0; ///< The engine's total of sent tokens.
};

/// @brief Longest time between two events at the usual speed, while at most @p tokens are read meanwhile.
/// @param tokens_per_event Of the service: so many steps lie between two events.
[[nodiscard]] double
usual_event_ms(const engine_pace& pace, double tokens, std::uint32_t tokens_per_event) noexcept;

/// @brief Learns from the time between two events of one stream.
/// @param tokens Most that the engine may have read meanwhile.
void note_event_gap(engine_pace& pace,
                    core::duration gap,
                    double tokens,
                    std::uint32_t tokens_per_event,
                    core::instant now) noexcept;

/// @brief Takes over what another instance saw, unless this one saw the engine just before.
void note_slowness_elsewhere(engine_pace& pace, double slowness, core::instant now) noexcept;

/// @brief By what factor the engine is slower than usual; 1 when nothing was seen of it lately.
[[nodiscard]] double current_slowness(const engine_pace& pace, core::instant now) noexcept;

/// @brief What this instance saw of the engine lately, to be told to others; zero for nothing.
[[nodiscard]] double own_slowness(const engine_pace& pace, core::instant now) noexcept;

/// @brief Whether a factor counts as slowed.
[[nodiscard]] bool is_slowed(double slowness) noexcept;

/// @brief How long work takes on an engine that is slowed now and will be as usual again soon.
[[nodiscard]] core::duration
slowed(const engine_pace& pace, core::duration usual, core::instant now) noexcept;

} // namespace hibiscusfall::dispatch
