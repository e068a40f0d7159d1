#pragma once

#include "hibiscusfall/core/instant.hpp"

namespace hibiscusfall::scheduling
{

/// @brief Service that goes on at a known rate from a known amount (dead reckoning).
///
/// Sender and receiver of a summary forecast alike, so the sender knows when the receiver is wrong.
///
/// @code
/// const service_forecast told{.service = 12, .rate = 3, .at = now};
/// const double expected = service_at(told, now + std::chrono::seconds{2}); // 18
/// @endcode
struct service_forecast {
    double service = 0; ///< In the unit of worth.
    double rate = 0;    ///< Service per second.
    core::instant at{};
};

/// @brief The service expected at an instant; earlier instants count back.
[[nodiscard]] double service_at(const service_forecast& from, core::instant now) noexcept;

/// @brief Takes in a measured amount: the rate follows the change since the last one.
/// @param memory Time after which an old rate weighs 1/e.
void measure_service(service_forecast& target, double service, core::instant now, core::duration memory);

} // namespace hibiscusfall::scheduling
