#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::catalog
{

/// @brief What may be repeated of a route's requests.
enum class route_kind : std::uint8_t {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once for each attempt of the caller.
    stream          ///< A series of events; may run again only from a named event, on resumable routes.
};

/// @brief One of the services among which a route's requests are divided.
struct service_weight {
    core::service_id service;
    double weight = 1;
};

/// @brief A route: which requests go to which service, and how they are treated.
struct route {
    std::string name;
    std::string host;   ///< In lower case, without a port.
    std::string prefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::non_idempotent;
    std::vector<service_weight> services;
    core::duration timeout{};       ///< Longest time that a caller is kept waiting; zero for none.
    core::duration aim{};           ///< Time within which the answer, or its first event, should be there.
    core::duration pause_aim{};     ///< Longest pause between events that is still on time; zero for none.
    std::uint32_t max_attempts = 1; ///< Endpoints at which one attempt of a caller may run.
    std::uint32_t priority = 0;     ///< Rank; 0 is the most urgent.
    bool anonymous = false;         ///< Whether no key is asked for.
    bool resumable = false;         ///< Whether a stream may go on at another endpoint.

    /// @brief Whether a request may run more than once.
    [[nodiscard]] bool repeatable() const noexcept
    {
        return this->kind == route_kind::idempotent || (this->kind == route_kind::stream && this->resumable);
    }
};

/// @brief What a service's model engines have in common.
struct engine_properties {
    std::uint32_t batch = 0;         ///< Requests that run at once.
    std::uint64_t memory_tokens = 0; ///< Tokens that running requests and kept prompt parts share.
    std::uint32_t tokens_per_event = 1;
};

/// @brief A service: endpoints that are interchangeable.
struct service {
    core::service_id id;
    std::uint32_t max_connections = 0;       ///< That each endpoint accepts from all callers together.
    std::optional<engine_properties> engine; ///< Set for model engines.
};

/// @brief Bounds on what a caller may send.
struct request_limits {
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 4194304;
    core::duration head_timeout = std::chrono::seconds{3};
    core::duration idle_timeout = std::chrono::seconds{15};
    double tokens_per_second = 0; ///< What all endpoints produce together; zero when unknown.
};

/// @brief A team and its rank.
struct team {
    core::team_id id;
    std::optional<std::uint32_t> priority; ///< Goes before the route's when set.
};

/// @brief One version of the operators' configuration, with look-ups.
///
/// @code
/// const auto* found = find_route(table, "desk.example", "/bookings/7");
/// @endcode
struct route_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<core::service_id, service> services;
    std::vector<team> teams;
    std::unordered_map<std::string, std::size_t> keys; ///< API key to position in teams.
    request_limits limits;
    std::unordered_map<std::string, std::vector<std::size_t>> by_host; ///< Longest prefix first.
};

/// @brief Builds the look-ups of a table whose other fields are set.
void index_routes(route_table& table);

/// @brief The route of a request: the longest prefix among those of its host; null for none.
/// @param host As in the request, with or without a port, in any case.
[[nodiscard]] const route* find_route(const route_table& table, std::string_view host, std::string_view path);

/// @brief The team that holds a key; null for none.
[[nodiscard]] const team* find_team(const route_table& table, std::string_view key);

/// @brief What the engines of a service have in common; null for plain and unknown services.
[[nodiscard]] const engine_properties* find_engine(const route_table& table, const core::service_id& service);

/// @brief The service of one request, by the weights.
/// @param draw Any number spread evenly over the requests, such as a digest of the request's id.
[[nodiscard]] const core::service_id& choose_service(const route& from, std::uint64_t draw);

} // namespace hibiscusfall::catalog
