#include "successor_search.hpp"

#include <boost/asio/co_spawn.hpp>

#include <utility>

namespace hibiscusfall::relay::detail
{

namespace
{

/// Connections within a site take a few ms; a lost SYN is retransmitted only after 1 s.
constexpr core::duration connect_limit = std::chrono::milliseconds{400};

/// Time for which a placement holds: the load of the endpoints changes.
constexpr core::duration search_validity = std::chrono::milliseconds{800};

} // namespace

void successor_search::start(const dispatch::placement_decision& decision)
{
    const auto* endpoint = dispatch::find_endpoint(this->server.fleet, decision.endpoint);
    if (endpoint == nullptr) {
        return;
    }
    this->current = std::make_shared<search>(search{.decision = decision, .started_at = event_loop::now()});
    this->current->connection = this->server.connections->take_idle(decision.endpoint, true);
    if (this->current->connection) {
        this->current->done = true;
        return;
    }
    asio::co_spawn(this->server.loop.context(),
                   open(this->server, this->current, endpoint->entry.address),
                   this->server.loop.log_failure("successor_search"));
}

asio::awaitable<void>
successor_search::open(relay_server& server, std::shared_ptr<search> state, core::address address)
{
    auto connection = server.connections->make(state->decision.endpoint);
    const auto limit = connect_limit + observation_delay(server.load);
    const auto error = co_await connect(connection, address, limit);
    state->done = true;
    if (!error && !state->cancelled) {
        state->connection = std::move(connection);
        co_return;
    }
    connection->close();
    auto* endpoint = dispatch::find_endpoint(server.fleet, state->decision.endpoint);
    if (endpoint != nullptr && is_unreachable(error)) {
        dispatch::record_unreachable(server.fleet, *endpoint, event_loop::now());
    }
}

bool successor_search::check_ready(core::instant now)
{
    if (!this->current) {
        return false;
    }
    const bool outdated = now >= this->current->started_at + search_validity;
    if (!this->current->done && !outdated) {
        return false;
    }
    const auto* endpoint = dispatch::find_endpoint(this->server.fleet, this->current->decision.endpoint);
    const auto& connection = this->current->connection;
    const bool usable = endpoint != nullptr && !outdated &&
                        dispatch::accepts_requests(this->server.fleet, *endpoint, now) && connection &&
                        connection->socket.is_open() && is_open_and_quiet(*connection);
    if (!usable) {
        this->cancel();
    }
    return usable;
}

std::optional<successor> successor_search::take()
{
    const auto found = std::exchange(this->current, nullptr);
    if (!found || !found->connection) {
        return std::nullopt;
    }
    return successor{.decision = found->decision, .connection = found->connection};
}

void successor_search::cancel() noexcept
{
    const auto found = std::exchange(this->current, nullptr);
    if (!found) {
        return;
    }
    found->cancelled = true;
    if (found->connection) {
        found->connection->close();
    }
}

} // namespace hibiscusfall::relay::detail
