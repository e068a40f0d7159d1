#pragma once

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
using answer_head = http::response_header<http::fields>;

/// @brief What a caller's request says of itself beyond method, path and body.
struct request_facts {
    std::string id;                          ///< Of this attempt of the caller; empty when it names none.
    std::string key;                         ///< Credential; empty for none.
    std::optional<core::duration> time_left; ///< How long the caller waits.
    std::optional<dispatch::prompt> generation;
    std::string last_event_id; ///< From which event the caller resumes; empty for none.
};

/// @brief What the system says of a request that goes on to an endpoint.
struct forwarding {
    core::duration time_left{};
    const core::endpoint_id* endpoint = nullptr; ///< The only one that may run it.
    const core::team_id* team = nullptr;         ///< Null for anonymous requests.
    std::string_view last_event_id;              ///< Set when this instance resumes the stream.
};

/// @brief What an endpoint's answer says of itself.
struct answer_facts {
    std::string_view request_id;
    bool is_signed = false;                     ///< Whether it bears the endpoint's signature.
    bool not_run = false;                       ///< Whether it states that the request was not run.
    std::optional<core::duration> idle_timeout; ///< After which the endpoint closes an idle connection.
    bool leaving = false;                       ///< Whether the endpoint says that it is about to end.
    std::optional<core::duration> rest{};       ///< For how long it wants nothing from this instance.
    bool rest_unreadable = false;               ///< Whether it stated such a time that cannot be read.
};

/// @brief How requests and answers speak: plain functions, one set for each deployment.
struct dialect {
    request_facts (*read_request)(const request_head& head);

    /// @brief Removes what callers may not set, and sets what the system says.
    void (*prepare_forwarding)(request_head& head, const forwarding& facts);

    answer_facts (*read_answer)(const answer_head& head);

    /// @brief The header by which an answer names its request, also in refusals.
    std::string_view request_id_header;
};

using traffic::to_beast;
using traffic::to_view;

/// @brief Removes the headers that concern one connection only.
/// @param kept Headers that stay even when a Connection header names them.
void remove_connection_headers(http::fields& fields, bool (*kept)(std::string_view name));

} // namespace hibiscusfall::relay
