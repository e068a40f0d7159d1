#pragma once

#include "hibiscusfall/platform/store_client.hpp"
#include "hibiscusfall/telemetry/metrics_page.hpp"

#include <memory>

namespace hibiscusfall::node::detail
{

/// @brief The calls on the store that each part of this instance made.
struct store_usage {
    std::shared_ptr<platform::store_counters> configuration = std::make_shared<platform::store_counters>();
    std::shared_ptr<platform::store_counters> placement = std::make_shared<platform::store_counters>();
    std::shared_ptr<platform::store_counters> claims = std::make_shared<platform::store_counters>();
};

/// @brief Writes the calls by part and kind, and those that got no answer.
void write_store_usage(telemetry::metrics_page& page, const store_usage& from);

} // namespace hibiscusfall::node::detail
