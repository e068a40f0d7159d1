#pragma once

#include "fleet_figures.hpp"
#include "node_parts.hpp"

#include "hibiscusfall/operators/command.hpp"
#include "hibiscusfall/operators/table.hpp"

namespace hibiscusfall::node::detail
{

/// @brief Answers one query of an operator. Blocks; not for the control thread.
[[nodiscard]] operators::table
answer_query(node_core& parts, fleet_figure_reader& figures, const operators::query_command& query);

} // namespace hibiscusfall::node::detail
