#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/dispatch/prefix_cache.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief Fleet-wide limit on the requests that reach a cold endpoint in any second: @c overshoot times the
/// rate that the configuration states for its service, plus @c slack.
struct cold_limits {
    double overshoot = 1;
    double slack = 0;
};

/// @brief How the limit of one cold endpoint is divided among the instances.
struct cold_allowance {
    std::uint32_t senders = 0;  ///< Instances that may send to it.
    std::uint32_t requests = 0; ///< That each of them may send in any second.
};

/// @brief What the configuration states about cold endpoints of a service.
struct cold_properties {
    core::duration period{};        ///< Time for which an endpoint is cold; zero if the service has no limit.
    double requests_per_second = 0; ///< That a cold endpoint tolerates.

    [[nodiscard]] bool limited() const noexcept
    {
        return this->period > core::duration::zero() && this->requests_per_second > 0;
    }
};

/// @brief An endpoint that is cold, or may be, to be reported to peers.
struct cold_finding {
    endpoint_tag endpoint = 0;
    core::instant until{};
    bool stated = false; ///< Whether the endpoint stated it; otherwise it could not be reached, or is back.
};

/// @brief What is known of one endpoint of a service with a limit for cold endpoints.
struct cold_endpoint {
    core::instant entry_until{};    ///< As stated by the endpoint's registration, bounded.
    core::instant entry_stated{};   ///< As stated, to recognise the same statement.
    core::instant peer_until{};     ///< As stated by the endpoint and reported by peers.
    core::instant presumed_until{}; ///< It may have restarted unseen.
    bool unreachable = false;       ///< Whether this instance has not reached it since it last failed to.
    std::vector<std::pair<std::uint64_t, core::instant>> failures; ///< Instances that could not reach it.
    std::vector<core::instant> sends;                              ///< Of this instance, in the last second.
};

/// @brief What this instance knows of cold endpoints, and of the instances that share their limits.
struct cold_endpoints {
    struct known_instance {
        std::uint64_t digest = 0;
        core::instant last_heard{};
    };

    cold_limits limits{};
    core::instant started_at{};
    bool expects_peers = true; ///< Whether the settings name other instances.
    std::unordered_map<endpoint_tag, cold_endpoint> endpoints;
    std::map<std::string, known_instance, std::less<>> instances; ///< Other instances, alive or not.
    std::vector<cold_finding> findings;                           ///< Not reported to peers yet.
};

/// @brief How long a silent instance keeps its rank. A cut or a restart must not give its part of a limit to
/// another instance while it may still be sending.
inline constexpr core::duration instance_retention = std::chrono::minutes{10};

/// @brief Divides the limit of a cold endpoint among a few instances.
/// @remarks Uses seven tenths of it, so that two instances whose views of the fleet differ from the others'
/// stay within the limit.
[[nodiscard]] cold_allowance divide_limit(const cold_limits& limits, double requests_per_second) noexcept;

[[nodiscard]] bool is_cold(const cold_endpoints& known, endpoint_tag endpoint, core::instant now);

/// @brief Whether this instance may send a request to an endpoint now. Always true for warm endpoints.
/// @remarks Designed for a whole failure domain that comes back cold while hundreds of instances hold
/// requests for it: without coordination, each of them would send its first request at once. The few
/// instances that may send are the first ones in an order by a hash of instance and endpoint, so that all
/// instances agree without messages, and those that hear no peer stay within the limit too.
[[nodiscard]] bool may_send(const cold_endpoints& known,
                            std::string_view own_instance,
                            endpoint_tag endpoint,
                            const cold_properties& properties,
                            core::instant now);

/// @brief Records that a request is being sent to an endpoint, cold or not.
void record_send(cold_endpoints& known, endpoint_tag endpoint, core::instant now);

/// @brief Records until when an endpoint's registration states that it is cold.
void record_entry(cold_endpoints& known, endpoint_tag endpoint, core::instant until, core::instant now);

/// @brief Records that this instance could not reach an endpoint, which may come back cold.
/// @remarks While it is down, its few senders keep trying it. Their reports keep it cold for all others.
void record_unreachable(cold_endpoints& known,
                        std::string_view own_instance,
                        endpoint_tag endpoint,
                        const cold_properties& properties,
                        core::instant now);

/// @brief Records a response of an endpoint. The first one after it could not be reached starts its cold
/// period again.
void record_response(cold_endpoints& known,
                     endpoint_tag endpoint,
                     const cold_properties& properties,
                     core::instant now);

/// @brief Records a peer's report that an endpoint stated that it is cold.
void record_peer_statement(cold_endpoints& known,
                           endpoint_tag endpoint,
                           core::instant until,
                           core::instant now);

/// @brief Records a peer's report that it could not reach an endpoint, or reached it again.
/// @remarks Two instances have to agree: a single one may itself be cut off.
void record_peer_failure(cold_endpoints& known,
                         std::string_view peer,
                         endpoint_tag endpoint,
                         const cold_properties& properties,
                         core::instant now);

/// @brief Treats an endpoint as cold for its service's cold period.
void presume_cold(cold_endpoints& known,
                  endpoint_tag endpoint,
                  const cold_properties& properties,
                  core::instant now);

/// @brief Records that an instance was heard.
void record_instance(cold_endpoints& known, std::string_view name, core::instant now);

/// @brief Records that a peer knows an instance, which it heard last at @p last_heard.
/// @remarks An instance that restarts within a small part of a split network learns in this way of the
/// instances that it cannot hear, which may still be sending.
void record_known_instance(cold_endpoints& known, std::string_view name, core::instant last_heard);

/// @brief Removes what no longer matters. Called once per second.
void expire(cold_endpoints& known, core::instant now);

} // namespace hibiscusfall::dispatch
