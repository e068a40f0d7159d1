#pragma once

#include "caller_session.hpp"

namespace hibiscusfall::relay::detail
{

/// @brief Handles a request: finds its route and team, places it, and relays the response or refuses it.
/// @remarks Ends when the caller has its final answer or is gone.
asio::awaitable<void> handle_request(relay_server& server, caller_session& caller, caller_request& request);

} // namespace hibiscusfall::relay::detail
