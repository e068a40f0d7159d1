#pragma once

#include "relay_context.hpp"

namespace hibiscusfall::traffic::detail
{

/// @brief Waits for a slot in the team's queue, and counts the wait.
/// @returns The slot, or why there is none: also when the caller leaves, or the instance does.
/// @remarks Once an answer has begun, a caller that leaves ends the wait only if its run may be abandoned.
[[nodiscard]] core::slot_decision acquire_slot(relay_context& context, const core::slot_request& wanted);

} // namespace hibiscusfall::traffic::detail
