#pragma once

#include "node_parts.hpp"

#include "hibiscusfall/platform/instance_list.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace hibiscusfall::node::detail
{

/// @brief Reads the platform's list where the settings name one, and spreads which endpoints are leaving.
class platform_list_shell
{
public:
    explicit platform_list_shell(node_core& given) : parts(given) {}

    void start(core::instant now);
    void stop();

private:
    void read_list(const platform::instance_list_port& port);
    void take(const std::vector<platform::listed_entry>& entries, core::instant now);
    void spread(core::instant now);
    void endpoints_changed(core::instant now);

    node_core& parts;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread reader;
};

} // namespace hibiscusfall::node::detail
