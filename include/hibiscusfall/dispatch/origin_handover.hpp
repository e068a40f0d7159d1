#pragma once

#include "hibiscusfall/dispatch/stream_origins.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief Intervals at which the origin of a stream is handed to peers again while none has stored it.
struct handover_times {
    core::duration first_repeat = std::chrono::milliseconds{400};
    core::duration max_repeat = std::chrono::seconds{4}; ///< The interval doubles up to this.
};

/// @brief Origins that this instance asks its peers to store, as it cannot write to the store itself.
/// @remarks Only the origins of streams that it relays itself: what others have handed over is not passed on.
struct origin_handover {
    struct request {
        std::uint32_t moves = 0; ///< Of the origin when it was last handed over.
        std::uint32_t count = 0;
        core::instant next{};
    };

    handover_times times{};
    bool needed = false; ///< Whether the last write of this instance to the store failed.
    std::unordered_map<stream_tag, request> requests;
};

/// @brief Takes the origins that are to be handed over now, those never handed over first.
/// @returns Nothing while the instance can write itself.
[[nodiscard]] std::vector<stream_origin>
take_due(origin_handover& handover, stream_origins& origins, std::size_t most, core::instant now);

/// @brief Records that a peer has stored the origin with these moves.
/// @returns Whether that is what this instance knows; otherwise the request has moved meanwhile.
bool record_stored_by_peer(origin_handover& handover,
                           stream_origins& origins,
                           stream_tag stream,
                           std::uint32_t moves);

} // namespace hibiscusfall::dispatch
