#pragma once

#include "hibiscusfall/core/instant.hpp"

namespace hibiscusfall::peers
{

/// Changes are told this soon; a placement at another instance within it is not known here.
inline constexpr core::duration least_interval = std::chrono::milliseconds{8};

/// A member that was not heard for this long is told of less often.
inline constexpr core::duration member_silence = std::chrono::seconds{3};

} // namespace hibiscusfall::peers
