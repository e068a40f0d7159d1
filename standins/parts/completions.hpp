#pragma once

#include "standins/parts/endpoint_standin.hpp"
#include "standins/parts/http_server.hpp"

namespace hibiscusfall::standins
{

/// @brief Runs a completion on the engine and answers it, in one piece or as a stream of tokens.
/// @returns Whether the connection may be used again.
bool complete(endpoint_standin& self, connection& client, const http_request& request);

} // namespace hibiscusfall::standins
