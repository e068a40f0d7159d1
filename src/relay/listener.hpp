#pragma once

#include "endpoint_connection.hpp"

namespace hibiscusfall::relay::detail
{

/// @brief Opens a listening socket.
/// @param queue Connections that may wait to be accepted.
/// @throws boost::system::system_error When the address cannot be bound.
[[nodiscard]] tcp::acceptor open_listener(event_loop& loop, const core::address& at, int queue);

} // namespace hibiscusfall::relay::detail
