#pragma once

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/prompt.hpp"
#include "hibiscusfall/traffic/beast_text.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace hibiscusfall::relay
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

using request_head = http::request_header<http::fields>;
using response_head = http::response_header<http::fields>;

/// @brief Metadata in the headers of a caller's request.
struct request_metadata {
    std::string id;                          ///< Id of this attempt by the caller; empty when not given.
    std::string credential;                  ///< The team's key; empty when not given.
    std::optional<core::duration> time_left; ///< Time until the caller gives up.
    std::optional<dispatch::prompt> generation;
    std::string last_event_id;     ///< Last event that the caller received, for resuming; may be empty.
    std::string resumed_request{}; ///< Id of the request that brought its first event; may be empty.
};

/// @brief Metadata that the relay adds to a request forwarded to an endpoint.
struct forwarding_metadata {
    core::duration time_left{};
    const core::endpoint_id* endpoint = nullptr; ///< The only endpoint that may run the request.
    const core::team_id* team = nullptr;         ///< Null for anonymous requests.
    /// Engine from which the endpoint copies the beginning of the prompt; null for none.
    const core::address* prefix_source = nullptr;
    std::string_view last_event_id{}; ///< Set when this instance resumes a stream.
};

/// @brief Metadata in the headers of an endpoint's response.
struct response_metadata {
    std::string_view request_id;
    bool is_signed = false; ///< Whether it carries the endpoint's signature.
    bool not_run = false;   ///< Whether the endpoint declares that it did not run the request.
    std::optional<core::duration> idle_timeout; ///< Time after which the endpoint closes an idle connection.
    bool shutting_down = false;                 ///< Whether the endpoint announces its shutdown.
    std::optional<core::duration> backoff{};    ///< Time during which this instance must send it no requests.
    bool malformed_backoff = false;             ///< Whether the back-off time is present but not valid.
};

/// @brief Maps HTTP headers to and from metadata. Each deployment defines its own set of functions.
struct dialect {
    request_metadata (*read_request)(const request_head& head);

    /// @brief Removes headers that callers may not set, and adds those of the relay.
    void (*prepare_forwarding)(request_head& head, const forwarding_metadata& facts);

    response_metadata (*read_response)(const response_head& head);

    /// @brief Header that carries the request id in responses, including refusals.
    std::string_view request_id_header;

    /// @brief Path at which an endpoint answers at any time, without a slot.
    std::string_view status_path;
};

using traffic::to_beast;
using traffic::to_view;

/// @brief Removes hop-by-hop headers.
/// @param kept Whether a header is kept even when the Connection header lists it.
void remove_connection_headers(http::fields& fields, bool (*kept)(std::string_view name));

} // namespace hibiscusfall::relay
