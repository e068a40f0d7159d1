#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/relay/event_loop.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace hibiscusfall::relay::detail
{

/// @brief A short HTTP response, rendered for each request.
struct page {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// @brief Renders the page for a request target such as `/explain?host=desk.example`.
using page_renderer = std::function<page(std::string_view target)>;

/// @brief Responds to every request on an address with a page rendered for its target, until the loop stops.
/// @remarks A connection whose request is malformed, or whose head exceeds 16 KiB, is closed.
/// @throws boost::system::system_error When the address cannot be bound.
void serve_pages(event_loop& loop, const core::address& at, page_renderer render);

} // namespace hibiscusfall::relay::detail
