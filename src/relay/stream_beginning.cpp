#include "stream_beginning.hpp"

#include "request_target.hpp"

#include "hibiscusfall/dispatch/record_need.hpp"

namespace hibiscusfall::relay::detail
{

namespace
{

/// A first event is held for so long at most while the store does not know where its stream begins: a batch's
/// time and a slow call.
constexpr core::duration max_origin_hold = std::chrono::milliseconds{400};
constexpr core::duration origin_hold_step = std::chrono::milliseconds{10};

} // namespace

void record_beginning(request_state& state)
{
    if (state.software_version.empty() && state.route->resumable) {
        dispatch::record_origin(state.server.origins,
                                {.stream = stream_of(state),
                                 .service = state.service,
                                 .version = state.attempt_version,
                                 .expires = state.deadline},
                                event_loop::now());
    }
}

asio::awaitable<void> hold_until_stored(request_state& state)
{
    auto& server = state.server;
    const auto limit = event_loop::now() + max_origin_hold;
    while (server.find_origin && state.route->resumable && !is_take_up(state)) {
        const auto now = event_loop::now();
        const auto* origin = dispatch::find_origin(server.origins, stream_of(state), now);
        if (origin == nullptr || dispatch::is_known_elsewhere(server.origins, *origin) ||
            state.caller.is_disconnected()) {
            co_return;
        }
        const auto need = dispatch::need_of_record(server.origins, *origin);
        if (need == dispatch::record_need::none || need == dispatch::record_need::later ||
            now >= (need == dispatch::record_need::required ? state.deadline : limit)) {
            co_return;
        }
        co_await server.loop.sleep(core::duration{origin_hold_step});
    }
}

} // namespace hibiscusfall::relay::detail
