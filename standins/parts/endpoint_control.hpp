#pragma once

#include "standins/parts/endpoint_standin.hpp"
#include "standins/parts/http_server.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

namespace hibiscusfall::standins
{

/// @brief Takes an order to the stand-in itself: a slowdown, a misbehaviour.
bool control(endpoint_standin& self, connection& client, const nlohmann::json& order);

/// @brief Takes an order of the fleet to load or unload a model.
bool take_order(endpoint_standin& self, connection& client, const nlohmann::json& order);

/// @brief Tells runs, load, orders or models.
bool answer_query(endpoint_standin& self, connection& client, std::string_view target);

} // namespace hibiscusfall::standins
