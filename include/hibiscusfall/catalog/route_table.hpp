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

/// @brief Whether requests of a route may be repeated.
enum class route_kind : std::uint8_t {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once per attempt of the caller.
    stream          ///< An event stream; on resumable routes it may run again from a given event.
};

/// @brief A service that receives part of a route's requests, and its weight.
struct service_weight {
    core::service_id service;
    double weight = 1;
};

/// @brief A route: maps requests to services and sets their policies.
struct route {
    std::string name;
    std::string host;   ///< In lower case, without port.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    route_kind kind = route_kind::non_idempotent;
    std::vector<service_weight> services;
    core::duration timeout{};          ///< Longest time that a caller may wait; zero if unlimited.
    core::duration latency_target{};   ///< Target time to the response or its first event.
    core::duration event_gap_target{}; ///< Target for the longest gap between events; zero for none.
    std::uint32_t max_attempts = 1;    ///< Endpoints that may be tried per attempt of the caller.
    std::uint32_t priority = 0;        ///< 0 is the highest priority.
    bool anonymous = false;            ///< Whether requests need no API key.
    bool resumable = false;            ///< Whether a stream may be resumed at another endpoint.
    std::vector<std::string> homes{};  ///< Regions whose endpoints may run its requests; empty for all.

    /// @brief Whether a request may run more than once.
    [[nodiscard]] bool repeatable() const noexcept
    {
        return this->kind == route_kind::idempotent || (this->kind == route_kind::stream && this->resumable);
    }
};

/// @brief Properties shared by the model engines of a service.
struct engine_properties {
    std::uint32_t batch_size = 0; ///< Requests that run concurrently.
    std::uint64_t kv_capacity_tokens =
        0; ///< Tokens that fit into the KV cache, shared by running requests and cached prompt prefixes.
    std::uint32_t tokens_per_event = 1;
    std::uint64_t kv_bytes_per_token = 0; ///< Size of one token in the KV cache; zero if unknown.
    double link_mbps =
        0; ///< Speed of the link over which engines copy KV cache, megabits/s; zero if unknown.
};

/// @brief A service: a set of interchangeable endpoints.
struct service {
    core::service_id id;
    std::uint32_t max_connections = 0;       ///< Accepted by each endpoint, over all instances.
    std::optional<engine_properties> engine; ///< Set for model engines.
    core::duration cold_period{}; ///< Time after its start for which an endpoint is cold; zero for none.
    double cold_requests_per_second = 0; ///< That a cold endpoint tolerates, of all instances; zero for none.
};

/// @brief Limits on the requests of callers.
struct request_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4194304;
    core::duration header_timeout = std::chrono::seconds{3};
    core::duration idle_timeout = std::chrono::seconds{15};
    double tokens_per_second = 0; ///< Total throughput of all endpoints; zero if unknown.
};

/// @brief A team and its priority.
struct team {
    core::team_id id;
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route if set.
    std::vector<std::string> homes{};      ///< Regions whose endpoints may run its requests; empty for all.
};

/// @brief One version of the operators' configuration, with its lookup indexes.
///
/// @code
/// const auto* found = find_route(table, "desk.example", "/bookings/7");
/// @endcode
struct route_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<core::service_id, service> services;
    std::vector<team> teams;
    std::unordered_map<std::string, std::size_t> api_keys; ///< Maps an API key to an index into @c teams.
    bool anonymous = false; ///< Whether no request needs an API key: the configuration has no list of teams.
    request_limits limits;
    std::unordered_map<std::string, std::vector<std::size_t>>
        routes_by_host; ///< Indexes into @c routes, longest prefix first.
};

/// @brief Builds @c routes_by_host from @c routes.
void index_routes(route_table& table);

/// @brief Finds the route with the longest matching prefix for a host; null if there is none.
/// @param host The request's host, with or without port, in any case.
[[nodiscard]] const route* find_route(const route_table& table, std::string_view host, std::string_view path);

/// @brief Finds the team that owns an API key; null if there is none.
[[nodiscard]] const team* find_team(const route_table& table, std::string_view key);

/// @brief Result of the check of an API key.
struct key_check {
    bool accepted = false;
    const team* owner = nullptr; ///< Null if the request needs no key.
};

/// @brief Checks the API key of a request to a route. A configuration whose teams have no key accepts none.
[[nodiscard]] key_check check_key(const route_table& table, const route& target, std::string_view key);

/// @brief Finds the engine properties of a service; null for plain and unknown services.
[[nodiscard]] const engine_properties* find_engine(const route_table& table, const core::service_id& service);

/// @brief Whether a service of the route has a weight. Without one, no request of the route may run.
[[nodiscard]] bool has_weight(const route& source);

/// @brief Chooses the service for a request in proportion to the weights.
/// @pre A service of the route has a weight.
/// @param hash A number distributed evenly over requests, such as a hash of the request id.
[[nodiscard]] const core::service_id& choose_service(const route& source, std::uint64_t hash);

} // namespace hibiscusfall::catalog
