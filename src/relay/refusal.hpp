#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/relay/event_loop.hpp"

#include <string>
#include <string_view>

namespace hibiscusfall::relay
{
class entry;
}

namespace hibiscusfall::relay::detail
{

class caller_session;

/// @brief An answer of this instance's own.
struct refusal {
    unsigned status = 503;
    std::string_view code;
    std::string detail;
    core::duration retry_after{}; ///< Zero states none.
};

/// @brief Sends a refusal to the caller.
/// @param request_id Echoed when not empty.
asio::awaitable<void>
send_refusal(entry& owner, caller_session& caller, std::string_view request_id, const refusal& answer);

/// @brief A status line's text, for example "Service Unavailable".
[[nodiscard]] std::string_view reason_of(unsigned status) noexcept;

} // namespace hibiscusfall::relay::detail
