#pragma once

#include "hibiscusfall/core/text_id.hpp"

namespace hibiscusfall::core
{

/// @brief Identifies a router process by the name in its settings.
using instance_id = text_id<struct instance_tag>;

/// @brief Identifies a part of the deployment that fails, or loses its network, as a unit.
using failure_domain_id = text_id<struct failure_domain_tag>;

/// @brief Identifies a customer that holds a share of the capacity.
using team_id = text_id<struct team_tag>;

/// @brief Identifies what callers request: a model, or a plain service.
using service_id = text_id<struct service_tag>;

/// @brief Identifies a back-end server that handles requests of one service.
using endpoint_id = text_id<struct endpoint_tag>;

} // namespace hibiscusfall::core
