#include "endpoint_pool.hpp"

#include <utility>

namespace hibiscusfall::traffic::detail
{

namespace
{

constexpr std::size_t idle_per_endpoint = 16;
constexpr auto longest_idle = std::chrono::seconds{2};

} // namespace

std::unique_ptr<http_socket> endpoint_pool::take(const core::address& endpoint, core::instant now)
{
    const std::lock_guard lock(this->mutex);
    this->drop_old(now);
    const auto found = this->idle.find(endpoint);
    while (found != this->idle.end() && !found->second.empty()) {
        auto connection = std::move(found->second.back().socket);
        found->second.pop_back();
        if (connection->clean_and_open()) {
            return connection;
        }
    }
    return nullptr;
}

void endpoint_pool::put(const core::address& endpoint,
                        std::unique_ptr<http_socket> connection,
                        core::instant now)
{
    if (!connection->clean_and_open()) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    this->drop_old(now);
    auto& connections = this->idle[endpoint];
    if (connections.size() < idle_per_endpoint) {
        connections.push_back({.socket = std::move(connection), .since = now});
    }
}

void endpoint_pool::drop_old(core::instant now)
{
    for (auto& [endpoint, connections] : this->idle) {
        std::erase_if(connections,
                      [now](const idle_connection& item) { return now - item.since > longest_idle; });
    }
    std::erase_if(this->idle, [](const auto& item) { return item.second.empty(); });
}

} // namespace hibiscusfall::traffic::detail
