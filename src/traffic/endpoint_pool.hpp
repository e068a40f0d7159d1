#pragma once

#include "http_socket.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace hibiscusfall::traffic::detail
{

/// @brief Idle connections to endpoints, kept for repeatable requests. Any thread may use it.
class endpoint_pool
{
public:
    /// @brief Takes an idle connection that is still open and clean.
    /// @returns Null when there is none.
    [[nodiscard]] std::unique_ptr<http_socket> take(const core::address& endpoint, core::instant now);

    /// @brief Keeps a connection whose last answer was read to its end.
    void put(const core::address& endpoint, std::unique_ptr<http_socket> connection, core::instant now);

private:
    struct idle_connection {
        std::unique_ptr<http_socket> socket;
        core::instant since;
    };

    void drop_old(core::instant now);

    std::mutex mutex;
    std::map<core::address, std::vector<idle_connection>> idle;
};

} // namespace hibiscusfall::traffic::detail
