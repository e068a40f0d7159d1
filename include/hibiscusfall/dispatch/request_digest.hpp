#pragma once

#include "hibiscusfall/dispatch/team_shares.hpp"

#include <cstdint>
#include <string_view>

namespace hibiscusfall::dispatch
{

/// @brief What stays the same when a caller sends a request again.
/// @remarks Its id, deadline and resume position differ each time, and proxies may change other headers.
struct request_identity {
    std::string_view service; ///< Of a route's services, the one that gets the request.
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< Path and query.
    team_tag team = 0;
    std::string_view body;
};

/// @brief A digest by which all instances recognise a request that is sent again.
[[nodiscard]] std::uint64_t digest_of(const request_identity& request) noexcept;

} // namespace hibiscusfall::dispatch
