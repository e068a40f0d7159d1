#pragma once

#include "hibiscusfall/catalog/endpoint_list.hpp"
#include "hibiscusfall/catalog/route_table.hpp"
#include "hibiscusfall/dispatch/cold_endpoints.hpp"
#include "hibiscusfall/dispatch/crash_attribution.hpp"
#include "hibiscusfall/dispatch/departures.hpp"
#include "hibiscusfall/dispatch/endpoint_health.hpp"
#include "hibiscusfall/dispatch/engine_model.hpp"
#include "hibiscusfall/dispatch/engine_pace.hpp"
#include "hibiscusfall/dispatch/prefix_cache.hpp"
#include "hibiscusfall/dispatch/team_shares.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief State of one endpoint as known to this instance.
struct endpoint_state {
    catalog::endpoint entry;
    endpoint_tag tag = 0;
    bool listed = true;      ///< Whether it is registered and not draining.
    bool is_engine = false;  ///< Whether it is a model engine.
    std::uint32_t batch = 0; ///< Requests that it runs concurrently.
    std::uint64_t memory_tokens =
        0; ///< Memory of an engine for cached prompt tokens; zero for other endpoints.
    std::uint32_t tokens_per_event = 0;
    double transfer_ms_per_token = 0; ///< To copy KV cache from another engine; zero if that is not done.
    engine_model model;
    engine_pace pace;
    endpoint_health health;
    std::uint64_t own_sent_total = 0;  ///< Uncached prompt tokens sent by this instance.
    core::instant last_received{};     ///< When this instance last received data from it.
    std::uint32_t connections = 0;     ///< Open connections from this instance.
    std::uint32_t max_connections = 0; ///< Limit for this instance; zero for none.
    std::string software_version{};    ///< What dispatch::software_version returns for the entry.
    cold_properties cold{};            ///< Of its service.
    bool begins_streams = true; ///< Whether streams that may be taken up may begin here, see stream_origins.
    /// Whether such streams begin here only if no other endpoint can be used, see is_deprioritized.
    bool deprioritized = false;
};

/// @brief Totals of one peer at one endpoint.
struct peer_totals {
    std::uint64_t sent = 0;    ///< Uncached prompt tokens sent.
    std::uint32_t running = 0; ///< Requests running now.
};

/// @brief Last reported state of another instance.
struct peer_state {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    core::instant last_received{};
    core::failure_domain_id domain;
    std::unordered_map<endpoint_tag, peer_totals> endpoints;
    std::unordered_map<team_tag, std::pair<double, double>> teams; ///< Total tokens requested and granted.
};

/// @brief State of the fleet as known to this instance; the input of every placement.
struct fleet_state {
    core::failure_domain_id own_domain;
    core::instance_id own_instance{};
    std::set<core::failure_domain_id> evacuated;            ///< Domains whose endpoints get no requests.
    std::map<core::failure_domain_id, std::string> regions; ///< Of the failure domains, from the settings.
    cold_endpoints cold;
    std::vector<endpoint_state> endpoints;
    std::unordered_map<endpoint_tag, std::size_t> endpoint_index; ///< Positions in @c endpoints.
    prefix_cache cached_prefixes;
    departures announced_departures; ///< Announced in answers of endpoints.
    crash_attribution crashes;
    team_shares shares;
    std::map<std::string, peer_state> peers;
    std::map<core::failure_domain_id, core::instant>
        domain_last_received; ///< Domains other than @c own_domain.
    std::uint64_t last_ticket = 0;
    /// Learned mean time from the first to the last event of a stream, per service.
    std::map<core::service_id, core::duration> mean_stream_times;
    core::duration observation_delay{}; ///< Delay with which this instance observes engine events.
};

/// @brief A request that was sent to an endpoint.
struct running_request {
    std::uint64_t ticket = 0;
    endpoint_tag endpoint = 0;
    core::instant sent_at{};
    bool first_event_seen = false; ///< Whether its first token was received.
    core::instant first_event_at{};
    event_snapshot last_event{};
};

/// @brief Digest of an endpoint's id and start time; differs after a restart under the same id.
[[nodiscard]] endpoint_tag tag_of(const catalog::endpoint& entry);
[[nodiscard]] team_tag tag_of(const core::team_id& team);

/// @brief A number below @p count that differs between most instances.
[[nodiscard]] std::uint32_t rank_of(const core::instance_id& instance, std::uint32_t count);

[[nodiscard]] endpoint_state* find_endpoint(fleet_state& fleet, endpoint_tag tag) noexcept;

/// @brief Applies a new endpoint list.
/// @param instances Number of instances among which an endpoint's connections are divided.
void update_endpoints(fleet_state& fleet,
                      const catalog::endpoint_list& list,
                      const catalog::route_table& table,
                      std::uint32_t instances);

/// @brief Applies what the endpoints' registrations state about cold periods.
void apply_cold_statements(fleet_state& fleet, core::instant now);

/// @brief Treats the endpoints of a failure domain as cold, such as at the end of its evacuation.
void presume_domain_cold(fleet_state& fleet, const core::failure_domain_id& domain, core::instant now);

/// @brief Records that an endpoint could not be reached.
void record_unreachable(fleet_state& fleet, endpoint_state& endpoint, core::instant now);

/// @brief Records that an endpoint answered.
void record_response(fleet_state& fleet, endpoint_state& endpoint, core::instant now);

/// @brief Takes the permission to send a request to an endpoint now, immediately before it is sent.
/// @returns False if the endpoint is cold and this instance's part of its limit is used up.
[[nodiscard]] bool try_take_send(fleet_state& fleet, const endpoint_state& endpoint, core::instant now);

/// @brief Records that a request is sent to an endpoint.
/// @param copied_prefix_tokens Tokens from the prompt's start that the engine has once it has copied from
/// another one; zero without a copy.
[[nodiscard]] running_request record_dispatch(fleet_state& fleet,
                                              endpoint_tag endpoint,
                                              const prompt& prompt,
                                              core::instant now,
                                              std::uint32_t copied_prefix_tokens = 0);

/// @brief Records the first event of a request's answer.
first_token_timing record_first_event(fleet_state& fleet, running_request& request, core::instant now);

/// @brief Records an event of a streamed answer, including the first one.
void record_event(fleet_state& fleet, running_request& request, core::instant now);

/// @brief Records the end of a request.
void record_end(fleet_state& fleet,
                const running_request& request,
                request_outcome outcome,
                core::instant now);

/// @brief Mean time for which a stream of the service occupies a batch slot of its engine.
[[nodiscard]] core::duration mean_stream_time(const fleet_state& fleet, const core::service_id& service);

/// @brief When an engine is expected to have processed all prompts that are known to have been sent to it.
[[nodiscard]] core::instant
expected_prefill_end(const fleet_state& fleet, const endpoint_state& state, core::instant now);

/// @brief Expected time until a further request gets a slot in an engine's batch.
/// @param stream_time Mean time for which a slot is occupied.
/// @remarks Matters for engines with few slots: when all are occupied, a request waits until one stream has
/// ended for each request queued before it and one for itself.
[[nodiscard]] core::duration expected_slot_wait(const endpoint_state& state,
                                                core::duration stream_time) noexcept;

/// @brief Why an endpoint is not used for a request.
enum class exclusion : std::uint8_t {
    none,
    wrong_version,         ///< Its software version may not run the request.
    deprioritized_version, ///< Its software version is used only if no other endpoint is, see
                           ///< is_deprioritized.
    not_listed,            ///< It is not registered, or is draining.
    evacuated,
    departing,
    backing_off,
    cold,             ///< It is cold, and this instance has no allowance left.
    outside_homes,    ///< Of the route or the team.
    tried_before,     ///< The request was tried there.
    connection_limit, ///< This instance has as many requests there as it may.
    suspended,
    unreachable,
    not_sampled ///< The fleet is large, and it is not among the endpoints scored for this request.
};

[[nodiscard]] std::string_view to_string(exclusion reason) noexcept;

/// @brief Why an endpoint accepts no requests from this instance, according to the list, the evacuated
/// domains and its own answers.
[[nodiscard]] inline exclusion
find_rejection(const fleet_state& fleet, const endpoint_state& state, core::instant now)
{
    return !state.listed                                         ? exclusion::not_listed
           : fleet.evacuated.contains(state.entry.domain)        ? exclusion::evacuated
           : is_departing(fleet.announced_departures, state.tag) ? exclusion::departing
           : is_backing_off(state.health, now)                   ? exclusion::backing_off
                                                                 : exclusion::none;
}

/// @brief Whether an endpoint accepts new requests from this instance.
[[nodiscard]] inline bool
accepts_requests(const fleet_state& fleet, const endpoint_state& state, core::instant now)
{
    return find_rejection(fleet, state, now) == exclusion::none;
}

/// @brief Whether the limits of cold endpoints let this instance send to an endpoint.
[[nodiscard]] inline bool may_send(const fleet_state& fleet, const endpoint_state& state, core::instant now)
{
    return may_send(fleet.cold, fleet.own_instance.view(), state.tag, state.cold, now);
}

/// @brief Whether a failure domain counts as reachable: data from its instances or endpoints was received
/// recently, or none has ever been received.
[[nodiscard]] bool
is_reachable(const fleet_state& fleet, const core::failure_domain_id& domain, core::instant now);

/// @brief Time without data after which a domain counts as unreachable. Instances send at least every 100 ms.
inline constexpr core::duration domain_timeout = std::chrono::milliseconds{600};

/// @brief Time without reports after which a peer's running requests count as ended.
inline constexpr core::duration peer_timeout = std::chrono::milliseconds{1500};

/// @brief Removes the running requests of timed-out peers and expired prompt segments and departures, and
/// decays learned speeds. Called once per second.
void run_maintenance(fleet_state& fleet, core::instant now);

} // namespace hibiscusfall::dispatch
