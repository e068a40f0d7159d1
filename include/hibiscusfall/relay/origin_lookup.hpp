#pragma once

#include "hibiscusfall/dispatch/stream_origins.hpp"
#include "hibiscusfall/relay/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace hibiscusfall::relay
{

/// @brief What is known of where a stream began.
enum class origin_state : std::uint8_t {
    known,
    unknown,    ///< Endpoints of several versions serve, and it is not recorded at which of them it began.
    unavailable ///< The store, which may know it, cannot be read now.
};

/// @brief The software version at which a stream began.
struct origin_reading {
    origin_state state = origin_state::unknown;
    std::string version{};   ///< Set if known.
    bool recorded = false;   ///< Whether it was recorded that the stream began, rather than concluded.
    std::uint32_t moves = 0; ///< Of the record, see dispatch::stream_origin.
};

/// @brief Finds where a stream began that this instance does not know.
/// @remarks The arguments are copied: the call suspends.
using origin_lookup =
    std::function<asio::awaitable<origin_reading>(core::service_id service, dispatch::stream_tag stream)>;

} // namespace hibiscusfall::relay
