#pragma once

#include "configuration_shell.hpp"
#include "fleet_figures.hpp"
#include "local_figures.hpp"
#include "node_parts.hpp"
#include "scheduling_shell.hpp"

#include "hibiscusfall/operators/command.hpp"
#include "hibiscusfall/operators/operator_server.hpp"
#include "hibiscusfall/rpc/rpc_server.hpp"

#include <optional>
#include <string>

namespace hibiscusfall::node::detail
{

/// @brief Answers operators, and the other instances' questions for figures.
class operator_shell
{
public:
    operator_shell(node_core& given, configuration_shell& changes, scheduling_shell& slots);

    [[nodiscard]] std::optional<std::string> start(core::instant now);
    void stop();

    /// @brief The server, for other parts to add their paths before start.
    [[nodiscard]] operators::operator_server& http() noexcept { return this->server; }

private:
    operators::operator_reply run_command(const operators::operator_call& call);
    operators::operator_reply run_change(const operators::change_command& wanted,
                                         const std::string& change_id,
                                         const std::string& author);
    operators::operator_reply run_query(const operators::query_command& query);

    node_core& parts;
    configuration_shell& configuration;
    figure_collector collector;
    fleet_figure_reader figures;
    rpc::rpc_server calls; ///< Questions of other instances.
    operators::operator_server server;
};

} // namespace hibiscusfall::node::detail
