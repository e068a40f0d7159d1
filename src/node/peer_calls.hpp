#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/rpc/rpc_client.hpp"

#include <chrono>
#include <string_view>

namespace hibiscusfall::node::detail
{

/// @name Methods that instances call at each other
inline constexpr const char* configuration_method = "configuration.since";
inline constexpr const char* figures_method = "figures.read";

/// @brief The key of these calls, derived from the fleet's secret. It is not that of the datagrams.
[[nodiscard]] rpc::call_key peer_call_key(std::string_view fleet_secret);

/// @brief Calls a method of an instance at its operator address and waits for the answer.
/// @param timeout For the connection and the answer together; a quarter of it for the connection.
[[nodiscard]] rpc::call_result call_peer(const rpc::call_key& key,
                                         const core::address& to,
                                         const char* method,
                                         const rpc::fields& parameters,
                                         std::chrono::milliseconds timeout);

} // namespace hibiscusfall::node::detail
