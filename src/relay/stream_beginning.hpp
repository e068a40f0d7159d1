#pragma once

#include "attempt.hpp"

namespace hibiscusfall::relay::detail
{

/// @brief Records the software version at which the stream begins, before the request is sent: the store has
/// it by the time of the first event.
void record_beginning(request_state& state);

/// @brief Waits until the store knows where the stream begins, as another instance may need it to continue
/// it.
/// @remarks If another instance would continue it at another version otherwise, the stream waits for as long
/// as its caller does.
asio::awaitable<void> hold_until_stored(request_state& state);

} // namespace hibiscusfall::relay::detail
