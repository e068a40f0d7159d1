#pragma once

#include "hibiscusfall/rpc/rpc_client.hpp"

#include <string>

namespace hibiscusfall
{
namespace rpc
{
namespace detail
{

/// @brief One HTTP POST and how it ended.
struct http_end {
    failure kind = failure::none;
    std::string reason;
    unsigned status = 0;
    std::string tag; ///< The answer's tag header; empty when there is none.
    std::string body;
};

/// @brief Sends a body with its tag header and waits for the whole answer, within the times and bytes given.
http_end post(const client_options& options, const peer& to, const std::string& tag, const std::string& body);

} // namespace detail
} // namespace rpc
} // namespace hibiscusfall
