#pragma once

#include "endpoint_connection.hpp"

namespace hibiscusfall::relay::detail
{

/// @brief Opens a listening socket.
/// @throws boost::system::system_error When the address cannot be bound.
[[nodiscard]] tcp::acceptor open_listener(event_loop& loop, const core::address& at);

} // namespace hibiscusfall::relay::detail
