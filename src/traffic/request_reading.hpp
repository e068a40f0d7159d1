#pragma once

#include "http_socket.hpp"

#include "hibiscusfall/configuration/document.hpp"
#include "hibiscusfall/core/verdict.hpp"
#include "hibiscusfall/traffic/beast_text.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hibiscusfall::traffic::detail
{

using request_parser = http::request_parser<http::string_body>;
using caller_request = http::request<http::string_body>;
using request_head = http::request_header<>;

/// @brief A caller's request, checked, with all that relaying it needs to know.
struct request_plan {
    const configuration::service* service = nullptr;
    bool streamed = false;         ///< Whether the caller asked for a stream.
    std::uint64_t hint_tokens = 0; ///< Tokens that the caller expects; 0 when it did not say.
    core::duration deadline{};     ///< From the request's arrival; zero when it names none.
    std::string key;               ///< Idempotency key; empty for none.
    std::uint64_t prefix = 0;      ///< Digest of the start of the prompt; 0 for none.
};

using planned_request = std::variant<request_plan, core::verdict>;

/// @brief Checks what can be checked before the body is read: method, path and headers.
/// @returns Nothing when all is well, otherwise the refusal.
[[nodiscard]] std::optional<core::verdict> check_head(const request_head& head);

/// @brief The bearer token of a request; empty when there is none.
[[nodiscard]] std::string_view bearer_token(const request_head& head);

/// @brief Checks a whole request against the configuration.
[[nodiscard]] planned_request plan_request(const caller_request& request,
                                           const configuration::document& document);

} // namespace hibiscusfall::traffic::detail
