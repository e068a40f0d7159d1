#pragma once

#include <boost/beast/http/message.hpp>

namespace hibiscusfall::traffic
{

/// @brief Whether the head of a response holds the status line of another response.
/// @remarks An endpoint that breaks off inside a head and then writes another response leaves such a head.
/// Its status and its first fields are those of the response that broke off, the rest belongs to the other
/// one.
[[nodiscard]] bool is_joined_head(const boost::beast::http::response_header<>& head);

} // namespace hibiscusfall::traffic
