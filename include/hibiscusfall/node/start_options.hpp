#pragma once

#include <cstdint>
#include <functional>

namespace hibiscusfall::node
{

/// @brief How one start of a node differs from others.
struct start_options {
    std::uint64_t lowest_incarnation = 0; ///< The start gets this number, or a higher one by the clock.

    /// Called once, on the control thread, when the others remember an earlier start at this address under a
    /// higher number, as after a wall clock that went back. The node should then be shut down and started
    /// with a lowest_incarnation above @p earlier; until then the others do not hear it.
    std::function<void(std::uint64_t earlier)> on_outdated;
};

} // namespace hibiscusfall::node
