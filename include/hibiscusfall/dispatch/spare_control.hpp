#pragma once

#include <cstdint>

namespace hibiscusfall::dispatch
{

/// @brief How far beyond the stated supply teams may be served, by what callers get: the stated supply counts
/// parts that engines hold like parts that they read, so that the real one lies above it on most days.
/// @remarks Answers two loads that the stated supply does not tell apart: a day on which engines have room
/// although teams ask for more than their shares, and one on which streams are late already.
struct spare_control {
    double factor = 1.0; ///< Of the stated supply.
    std::uint32_t streams = 0;
    std::uint32_t late = 0;
};

/// @brief Notes the end of a stream.
/// @param late Whether its first event or a pause was later than its route's aim.
void note_stream(spare_control& control, bool late) noexcept;

/// @brief Moves the factor by the streams since the last call: slowly up while few are late, faster down.
/// Called once a second.
void adjust(spare_control& control) noexcept;

} // namespace hibiscusfall::dispatch
