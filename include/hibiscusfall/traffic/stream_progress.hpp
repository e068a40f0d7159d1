#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hibiscusfall::traffic
{

/// @brief How far a stream has come: the events up to some point of it.
struct stream_progress {
    std::uint64_t tokens = 0; ///< Events with data, the end mark not counted.
    std::optional<std::string> last_id;
    bool ended = false; ///< Whether the end mark "data: [DONE]" was among the events.
};

} // namespace hibiscusfall::traffic
