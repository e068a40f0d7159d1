#pragma once

#include "hibiscusfall/dispatch/answer_wait.hpp"
#include "hibiscusfall/relay/relay_server.hpp"

#include <unordered_map>

namespace hibiscusfall::relay::detail
{

/// @brief Asks endpoints whether they still answer, with at most one request at a time to each.
/// @remarks A check has a connection of its own, which carries nothing else.
class endpoint_checks
{
public:
    explicit endpoint_checks(relay_server& owner) : server(owner) {}

    /// @brief Starts a check unless one is in progress. An answer counts as received from the endpoint.
    void start(const dispatch::endpoint_state& endpoint);

    /// @brief The state of the last check.
    [[nodiscard]] dispatch::endpoint_check result(const dispatch::endpoint_state& endpoint,
                                                  core::instant now) const;

private:
    struct check {
        bool pending = false;
        core::instant started_at{};
        core::instant failed_at{}; ///< Not set while pending.
    };

    asio::awaitable<void> run(dispatch::endpoint_tag tag, core::address address);
    asio::awaitable<bool> is_answering(dispatch::endpoint_tag tag, core::address address);

    relay_server& server;
    std::unordered_map<dispatch::endpoint_tag, check> checks; ///< Pending or recently failed.
};

} // namespace hibiscusfall::relay::detail
