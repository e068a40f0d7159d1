#pragma once

#include "hibiscusfall/core/address.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusfall::operators
{

/// @brief One call to the operator interface of an instance.
struct http_call {
    core::address to;
    std::string path;
    std::string token; ///< Sent as bearer token; none when empty.
    std::string body;  ///< Sent by POST; an empty one makes a GET.
    std::chrono::milliseconds timeout{2000};
};

/// @brief The whole answer to a call.
struct http_answer {
    unsigned status = 0;
    std::string body;
};

/// @brief Makes a call and waits for its answer.
/// @param reason Receives why there is no answer.
[[nodiscard]] std::optional<http_answer> perform(const http_call& call, std::string& reason);

} // namespace hibiscusfall::operators
