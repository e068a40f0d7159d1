#pragma once

#include "hibiscusfall/core/instant.hpp"

namespace hibiscusfall::peers
{

/// A member without a report for this long does not count as live, and is sent only periodic probes.
inline constexpr core::duration member_timeout = std::chrono::seconds{3};

} // namespace hibiscusfall::peers
