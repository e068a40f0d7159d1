#pragma once

#include "hibiscusfall/core/verdict.hpp"
#include "hibiscusfall/dispatch/fleet_state.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief How requests are placed and refused. Policies other than @c engine_model serve as baselines for
/// comparison.
enum class policy : std::uint8_t {
    engine_model,    ///< By predicted time to first token, cached prefixes and team shares.
    least_in_flight, ///< To the endpoint with the fewest requests; refuses nothing.
    no_admission     ///< By predicted time to first token and cached prefixes; refuses nothing.
};

/// @brief A request to be placed.
struct placement_request {
    core::service_id service;
    const prompt* generation = nullptr; ///< Null for plain services.
    team_tag team = 0;
    core::instant arrived{};
    core::instant deadline{};
    core::duration first_token_target{}; ///< Target time from the caller's first attempt to the first token.
    core::duration waited_before{};      ///< Time from the caller's first attempt to @c arrived.
    core::duration event_gap_target{};   ///< Longest event gap of a stream that is on time; zero for none.
    bool repeatable = false;
    std::span<const endpoint_tag> excluded;     ///< Endpoints already tried.
    std::string_view software_version{};        ///< The only one that may continue the stream; empty for any.
    bool begins_stream = false;                 ///< Whether it begins a stream that may be taken up.
    std::span<const std::string> route_homes{}; ///< Regions allowed to its route; empty for all.
    std::span<const std::string> team_homes{};  ///< Regions allowed to its team; empty for all.
    std::uint64_t hash = 0;                     ///< A digest of the request, to break ties.
};

/// @brief The result of a placement.
struct placement_decision {
    bool placed = false;
    endpoint_tag endpoint = 0;
    core::duration expected_first_token{};       ///< Time to first token at the selected or best endpoint.
    std::uint32_t reread_tokens = 0;             ///< Shared tokens not cached here but at another endpoint.
    std::optional<endpoint_tag> prefix_source{}; ///< Engine from which the beginning of the prompt is copied.
    std::uint32_t prefix_tokens = 0;             ///< What that engine has from the prompt's start.
    std::uint32_t transferred_tokens = 0;        ///< Expected size of that copy.
    std::uint32_t evaluated = 0;                 ///< Endpoints that were scored.
    bool within_share = true;                    ///< Whether the team is within its share.
    bool overdue = false;                        ///< Whether the first-token target can no longer be met.
    core::failure reason = core::failure::none;  ///< Reason of a refusal.
    core::duration retry_after{};                ///< When capacity is expected; zero when unknown.
};

/// @brief Whether the homes of a request's route and team permit endpoints of a failure domain.
/// @remarks A domain whose region is not known is in no home.
[[nodiscard]] bool is_permitted(const fleet_state& fleet,
                                const core::failure_domain_id& domain,
                                const placement_request& request);

/// @brief An endpoint of the request's service, as placement sees it.
struct considered_endpoint {
    endpoint_tag endpoint = 0;
    exclusion reason = exclusion::none; ///< What follows is set only if the endpoint is not excluded.
    double score = 0;                   ///< The lowest is best.
    core::duration wait{};              ///< Until the request would start.
    core::duration first_token{};
    std::uint32_t reread_tokens = 0;
    std::optional<endpoint_tag> prefix_source{};
    std::uint32_t transferred_tokens = 0;
};

/// @brief What placement considered for one request.
struct placement_trace {
    std::vector<considered_endpoint> endpoints;
    bool ignored_health = false; ///< Whether suspended and unreachable endpoints were considered.
};

/// @brief Selects an endpoint for a request, or refuses the request at once if it cannot be served in time.
/// @remarks Designed for peak load: prompts arrive in bursts and faster than the engines process them, some
/// teams request many times their share, and each shared prompt segment is best cached at a single engine.
[[nodiscard]] placement_decision place(const fleet_state& fleet,
                                       const placement_request& request,
                                       policy how,
                                       core::instant now,
                                       placement_trace* trace = nullptr);

/// @brief Whether an endpoint of the service runs the software version and is in use, even if it accepts
/// nothing now.
[[nodiscard]] bool
has_version(const fleet_state& fleet, const core::service_id& service, std::string_view software_version);

/// @brief Tokens that a generation counts against its team's share: prompt tokens plus twice the output
/// tokens.
[[nodiscard]] double share_cost(const prompt& generation);

/// @brief The policy's name in log lines and settings.
[[nodiscard]] std::string_view to_string(policy how) noexcept;

} // namespace hibiscusfall::dispatch
