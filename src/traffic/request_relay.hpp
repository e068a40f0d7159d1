#pragma once

#include "relay_state.hpp"
#include "request_reading.hpp"

#include <memory>
#include <optional>
#include <string>

namespace hibiscusfall::traffic::detail
{

/// @brief Decides from the head alone whether a request is refused, so that a flood costs little.
/// @returns Nothing when the body should be read.
[[nodiscard]] std::optional<core::verdict> refuse_early(relay_state& state, const request_head& head);

/// @brief Answers one request of a caller: claims its key, waits for a slot, relays the answer, sends it
/// elsewhere where that is safe.
/// @returns Whether the connection may carry another request.
bool relay_request(http_socket& caller,
                   const caller_request& request,
                   const std::string& request_id,
                   core::instant arrived,
                   relay_state& state);

} // namespace hibiscusfall::traffic::detail
