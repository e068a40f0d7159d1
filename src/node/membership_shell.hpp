#pragma once

#include "node_parts.hpp"

namespace hibiscusfall::node::detail
{

/// @brief Connects the membership decisions to datagrams and timers.
void start_membership(node_core& parts, core::instant now);

/// @brief Tells the others that this instance is leaving. On the control thread.
void announce_leaving(node_core& parts);

/// @brief Takes the platform's list of instances. On the control thread.
void take_platform_list(node_core& parts,
                        std::span<const membership::listed_instance> list,
                        core::instant now);

} // namespace hibiscusfall::node::detail
