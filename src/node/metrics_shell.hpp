#pragma once

#include "claims_shell.hpp"
#include "node_parts.hpp"
#include "scheduling_shell.hpp"
#include "store_usage.hpp"

#include "hibiscusfall/traffic/traffic_counters.hpp"

#include <string>

namespace hibiscusfall::node::detail
{

/// @brief The parts that the metrics page reads.
struct metrics_sources {
    node_core& parts;
    const scheduling_shell& scheduling;
    const claims_shell& claims;
    const store_usage& store;
    const traffic::traffic_counters& traffic;
};

/// @brief Writes the metrics page of this instance. Blocks on the control thread; never call it there.
[[nodiscard]] std::string write_metrics(const metrics_sources& from);

} // namespace hibiscusfall::node::detail
