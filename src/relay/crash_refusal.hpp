#pragma once

#include "refusal.hpp"

#include "hibiscusfall/dispatch/crash_attribution.hpp"

namespace hibiscusfall::relay::detail
{

/// @brief Refusal of a request to which crashes are attributed. Retry-After is the time until it is tried
/// again, even if the caller's deadline is earlier.
[[nodiscard]] refusal crash_refusal(const dispatch::crash_attribution& crashes,
                                    const dispatch::crash_cause& cause,
                                    const dispatch::request_traits& request,
                                    core::instant now);

} // namespace hibiscusfall::relay::detail
