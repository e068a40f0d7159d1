#pragma once

#include "endpoint_connection.hpp"

#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/relay/relay_server.hpp"

#include <memory>
#include <optional>

namespace hibiscusfall::relay::detail
{

/// @brief The next attempt of a request: where it is placed, and an open connection to that endpoint.
struct successor {
    dispatch::placement_decision decision;
    std::shared_ptr<endpoint_connection> connection;
};

/// @brief Opens the connection for a request's next attempt while the current attempt still waits.
/// @remarks The current attempt is given up only for a successor that can be sent at once.
class successor_search
{
public:
    explicit successor_search(relay_server& owner) : server(owner) {}
    ~successor_search() { this->cancel(); } // the server may be gone
    successor_search(const successor_search&) = delete;
    successor_search& operator=(const successor_search&) = delete;

    /// @brief Starts to open a connection to the endpoint of the decision.
    /// @pre No search is in progress.
    void start(const dispatch::placement_decision& decision);

    /// @brief Whether a search is in progress or has found a connection.
    [[nodiscard]] bool is_active() const noexcept { return this->current != nullptr; }

    /// @brief Whether a connection is open, and its endpoint accepts requests.
    /// @remarks Ends the search if it has failed, is outdated or the endpoint no longer accepts requests.
    [[nodiscard]] bool check_ready(core::instant now);

    /// @brief The successor that was found; nothing if none is ready. Ends the search.
    [[nodiscard]] std::optional<successor> take();

    /// @brief Ends the search and closes its connection.
    void cancel() noexcept;

private:
    struct search {
        dispatch::placement_decision decision;
        core::instant started_at{};
        std::shared_ptr<endpoint_connection> connection{};
        bool done = false;
        bool cancelled = false;
    };

    static asio::awaitable<void>
    open(relay_server& server, std::shared_ptr<search> state, core::address address);

    relay_server& server;
    std::shared_ptr<search> current;
};

} // namespace hibiscusfall::relay::detail
