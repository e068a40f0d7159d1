#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/relay/dialect.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::relay
{

class relay_server;

/// @brief A request of which it is asked where it would be sent.
struct explained_request {
    std::string host;
    std::string path;
    request_metadata metadata; ///< Of its headers; @c id selects the service where a route has several.
    std::string model;         ///< Stated in the answer only: placement does not depend on it.
};

/// @brief Reads the query of an explanation page.
/// @param query For example
/// `host=desk.example&path=/a&key=K&tokens=1460,80&segments=5c1e07a2:800,e4402b7d:660`. Segments have
/// hexadecimal ids. Further parameters are `id`, `hint` (expected output tokens), `time-left-ms` and `model`.
/// @param problem Set to what is wrong with the query. Never contains a value, as one of them is a key.
/// @returns Nothing if the query is malformed.
[[nodiscard]] std::optional<explained_request> read_explained_request(std::string_view query,
                                                                      std::string& problem);

/// @brief An endpoint of the request's service as placement sees it.
struct explained_endpoint {
    std::string id;
    std::string domain;
    dispatch::considered_endpoint considered;
    std::string prefix_source; ///< Id of the engine from which it would copy; empty for none.
};

/// @brief What would happen to a request now.
struct explanation {
    bool placed = false;
    std::string route;
    std::string team; ///< Empty for anonymous requests.
    std::string service;
    std::uint64_t draw = 0; ///< Derived from the id: selects the service, and one of equal endpoints.
    bool within_share = true;
    double share_level = 0;      ///< Tokens per team in the window; zero if demand fits the supply.
    double requested_tokens = 0; ///< Of the team in the window.
    std::string endpoint;        ///< That the request would be sent to.
    core::duration expected_first_token{};
    bool ignored_health = false; ///< Whether suspended and unreachable endpoints were considered, as no other
                                 ///< is left.
    unsigned status = 0;         ///< Of the refusal.
    std::string reason;
    std::string detail;
    core::duration retry_after{};
    std::vector<explained_endpoint> endpoints;
};

/// @brief Determines what would happen to a new request, by the decisions that serve requests. Sends nothing
/// and changes nothing.
/// @remarks A crash attributed to the digest of a request is not considered, as it depends on the body, nor
/// how long the caller has waited before.
[[nodiscard]] explanation
explain(const relay_server& server, const explained_request& request, core::instant now);

/// @brief The explanation as JSON, without the key.
[[nodiscard]] std::string to_json(const explanation& result, const explained_request& request);

} // namespace hibiscusfall::relay
