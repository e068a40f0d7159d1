#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/relay/event_loop.hpp"

#include <functional>
#include <string>

namespace hibiscusfall::relay::detail
{

/// @brief A short HTTP response, rendered for each request.
struct page {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// @brief Responds to every request on an address with a rendered page, until the loop stops.
/// @throws boost::system::system_error When the address cannot be bound.
void serve_pages(event_loop& loop, const core::address& at, std::function<page()> render);

} // namespace hibiscusfall::relay::detail
