#pragma once

#include "candidate.hpp"

namespace hibiscusfall::traffic::detail
{

/// @brief Gives back the slot of a stream that cannot go on at its endpoint, and gets one at another
/// endpoint of the service, if the service's engines can go on with streams of others.
/// @param source Names the other endpoint afterwards; nothing was sent to it yet.
/// @returns Ran when there is another endpoint, otherwise why there is none.
[[nodiscard]] core::verdict move_stream(relay_context& context, candidate& source);

} // namespace hibiscusfall::traffic::detail
