#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/relay/event_loop.hpp"

#include <functional>
#include <string>

namespace hibiscusfall::relay::detail
{

/// @brief A short page that is made anew for each request.
struct page {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// @brief Answers every request on an address with a page, until the loop ends.
/// @throws boost::system::system_error When the address cannot be bound.
void serve_pages(event_loop& loop, const core::address& at, std::function<page()> make);

} // namespace hibiscusfall::relay::detail
