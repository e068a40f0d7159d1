#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>

namespace hibiscusfall::relay
{

/// @brief How far an event loop is behind its work, seen from timers that fire late.
/// @remarks Answers an instance that gets several times its part of the callers: what it takes would wait
/// until its callers have given up. While it is behind it refuses streams, which cost it most, so that they
/// are asked for elsewhere at once; it says not to be ready, so that new connections go elsewhere, and closes
/// kept ones after their answers.
struct loop_load {
    double lag_ms = 0; ///< Smoothed.
    bool overloaded = false;
    core::instant changed_at{};
};

/// @brief Notes by how much a timer fired late.
/// @returns Whether the loop is now overloaded, or is not any more.
bool note_lag(loop_load& load, core::duration lag, core::instant now) noexcept;

/// @brief Whether streams are refused: they would begin late here, and others can begin them at once.
[[nodiscard]] bool refuses_streams(const loop_load& load) noexcept;

/// @brief By how much this instance sees later what happened, as far as is known.
[[nodiscard]] core::duration view_delay(const loop_load& load) noexcept;

/// @brief Whether kept connections are closed after their answers: new ones go to other instances by now.
[[nodiscard]] bool moves_callers(const loop_load& load, core::instant now) noexcept;

} // namespace hibiscusfall::relay
