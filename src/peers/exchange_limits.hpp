#pragma once

#include "hibiscusfall/core/instant.hpp"

namespace hibiscusfall::peers
{

/// A member that was not heard for this long is told of less often.
inline constexpr core::duration member_silence = std::chrono::seconds{3};

} // namespace hibiscusfall::peers
