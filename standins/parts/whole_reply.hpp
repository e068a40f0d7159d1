#pragma once

#include "standins/parts/http_server.hpp"
#include "standins/parts/misbehaviour.hpp"

#include <string>

namespace hibiscusfall::standins
{

/// @brief Answers with a body, or with what the fault makes of it.
/// @returns Whether the connection may be used again.
bool reply_whole(connection& client,
                 const std::string& body,
                 const std::string& request_id,
                 misbehaviour fault);

/// @brief Refuses a request that was not run.
bool refuse(connection& client);

} // namespace hibiscusfall::standins
