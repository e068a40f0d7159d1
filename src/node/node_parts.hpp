#pragma once

#include "hibiscusfall/membership/leaving_endpoints.hpp"
#include "hibiscusfall/membership/membership.hpp"
#include "hibiscusfall/node/control_loop.hpp"
#include "hibiscusfall/node/datagram_hub.hpp"
#include "hibiscusfall/node/published_configuration.hpp"
#include "hibiscusfall/node/start_options.hpp"
#include "hibiscusfall/settings/router_settings.hpp"

#include <functional>
#include <vector>

namespace hibiscusfall::node::detail
{

/// @brief What the shells of all packages share. Everything but the configuration belongs to the
/// control thread once the loop runs.
struct node_core {
    settings::router_settings settings;
    start_options start;
    protocol::sender self; ///< This process: its name and its start.
    control_loop loop;
    datagram_hub hub;
    membership::membership members;
    membership::leaving_endpoints leaving; ///< As the platform lists them.
    published_configuration configuration;

    /// Called on the control thread when the set of live members has changed.
    std::vector<std::function<void(core::instant now)>> on_members_changed;

    /// Called on the control thread when a higher configuration revision is in force.
    std::vector<std::function<void(core::instant now)>> on_configuration_changed;

    /// Called on the control thread when a member says that it has a higher configuration revision.
    std::vector<std::function<void(const membership::revision_notice&, core::instant now)>> on_newer_revision;

    node_core(const settings::router_settings& given, start_options how);
};

/// @brief The configuration in force, with the endpoints that the platform lists as leaving marked as
/// draining. On the control thread.
/// @returns Null while there is no configuration.
[[nodiscard]] std::shared_ptr<const configuration::document> effective_configuration(const node_core& parts);

} // namespace hibiscusfall::node::detail
