#pragma once

#include "caller_session.hpp"

namespace hibiscusfall::relay::detail
{

/// @brief Serves one request: finds its route and team, places it, relays the answer, or refuses it.
/// @remarks Ends when the caller has its final answer or is gone.
asio::awaitable<void> run_request(entry& owner, caller_session& caller, caller_request& request);

} // namespace hibiscusfall::relay::detail
