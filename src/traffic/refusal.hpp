#pragma once

#include "http_socket.hpp"

#include "hibiscusfall/core/verdict.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscusfall::traffic::detail
{

/// @brief What a refusal tells the caller besides its verdict.
struct refusal_details {
    std::string_view request_id = "-";
    core::duration retry_after{}; ///< When coming back makes sense; zero for the failure's own default.
    bool keep_alive = false;
    bool replayed = false; ///< Whether it is the outcome of an earlier request with the same key.
    core::duration timeout = std::chrono::seconds{5};
};

/// @brief The HTTP status of a failure.
[[nodiscard]] http::status to_status(core::failure reason) noexcept;

/// @brief After which time a caller may try again; zero when it would get the same answer.
[[nodiscard]] core::duration default_retry_after(core::failure reason) noexcept;

/// @brief A time in whole seconds, rounded up, as Retry-After has it.
[[nodiscard]] std::int64_t to_seconds(core::duration time) noexcept;

/// @brief The JSON text of an error.
[[nodiscard]] std::string error_body(const core::verdict& outcome, std::string_view request_id);

/// @brief Answers with a verdict as status, header and JSON error.
/// @returns Whether the connection may carry another request.
bool send_refusal(http_socket& caller, const core::verdict& outcome, const refusal_details& details);

/// @brief Ends a stream that has begun with an error event. The final chunk is not sent, so that the caller
/// cannot take the stream for complete.
void send_error_event(http_socket& caller,
                      const core::verdict& outcome,
                      std::string_view request_id,
                      core::duration timeout);

} // namespace hibiscusfall::traffic::detail
