#pragma once

#include "standins/parts/endpoint_standin.hpp"
#include "standins/parts/http_server.hpp"

namespace hibiscusfall::standins
{

/// @brief Runs one call of the plain service, records it and answers it.
/// @returns Whether the connection may be used again.
bool run_plain(endpoint_standin& self, connection& client, const http_request& request);

} // namespace hibiscusfall::standins
