#pragma once

#include "hibiscusfall/node/start_options.hpp"
#include "hibiscusfall/settings/router_settings.hpp"

#include <memory>
#include <optional>
#include <string>

namespace hibiscusfall::node
{

/// @brief One whole router: all packages joined, with their threads and sockets.
///
/// @code
/// router_node node(settings);
/// if (const auto problem = node.start()) { ... }
/// wait_for_signal();
/// node.shut_down();
/// @endcode
class router_node
{
public:
    explicit router_node(const settings::router_settings& settings, start_options how = {});
    ~router_node();
    router_node(const router_node&) = delete;
    router_node& operator=(const router_node&) = delete;

    /// @brief Opens all sockets and starts all threads.
    /// @returns Nothing when it worked, otherwise why it did not.
    [[nodiscard]] std::optional<std::string> start();

    /// @brief Leaves the fleet: tells the others, finishes running requests, ends all threads.
    /// @returns Whether every request ended within the limit of the settings.
    bool shut_down();

private:
    struct parts;
    std::unique_ptr<parts> all;
};

} // namespace hibiscusfall::node
