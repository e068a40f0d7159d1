#pragma once

#include "hibiscusfall/catalog/endpoint_list.hpp"
#include "hibiscusfall/catalog/route_table.hpp"
#include "hibiscusfall/dispatch/departures.hpp"
#include "hibiscusfall/dispatch/endpoint_health.hpp"
#include "hibiscusfall/dispatch/engine_model.hpp"
#include "hibiscusfall/dispatch/engine_pace.hpp"
#include "hibiscusfall/dispatch/kept_parts.hpp"
#include "hibiscusfall/dispatch/team_shares.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief All that is believed of one endpoint.
struct endpoint_state {
    catalog::endpoint entry;
    endpoint_tag tag = 0;
    bool listed = true;              ///< Whether it is registered and not draining.
    bool engine = false;             ///< Whether it is a model engine.
    std::uint32_t batch = 0;         ///< Requests that it runs at once.
    std::uint64_t memory_tokens = 0; ///< Of an engine.
    std::uint32_t tokens_per_event = 0;
    engine_model model;
    engine_pace pace;
    endpoint_health health;
    std::uint64_t own_sent_total = 0;  ///< Tokens that this instance sent it.
    core::instant heard{};             ///< When it last sent a byte to this instance.
    std::uint32_t connections = 0;     ///< Open from this instance.
    std::uint32_t max_connections = 0; ///< This instance's part; zero for no bound.
};

/// @brief Running totals of one peer at one endpoint.
struct peer_totals {
    std::uint64_t sent = 0;
    std::uint32_t running = 0;
};

/// @brief What another instance last told.
struct peer_state {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    core::instant heard{};
    core::failure_domain_id domain;
    std::unordered_map<endpoint_tag, peer_totals> endpoints;
    std::unordered_map<team_tag, std::pair<double, double>> teams; ///< Asked and given, running totals.
};

/// @brief What this instance believes of the fleet: the input of every placement.
struct fleet_book {
    core::failure_domain_id own_domain;
    std::vector<endpoint_state> endpoints;
    std::unordered_map<endpoint_tag, std::size_t> positions; ///< Of endpoints in the list.
    kept_parts parts;
    departures leaving; ///< Endpoints that said so in an answer.
    team_shares shares;
    std::map<std::string, peer_state> peers;
    std::map<core::failure_domain_id, core::instant> domain_heard; ///< Domains other than the own one.
    std::uint64_t last_ticket = 0;
    /// Mean time from the first to the last event of a stream, learned for each service.
    std::map<core::service_id, core::duration> stream_time;
    core::duration view_delay{}; ///< By how much this instance sees late what engines did.
};

/// @brief A request that was sent to an endpoint.
struct running_request {
    std::uint64_t ticket = 0;
    endpoint_tag endpoint = 0;
    bool started = false; ///< Whether its first token was seen.
    core::instant started_at{};
    event_mark last_event{};
};

/// @brief A digest that names an endpoint's life: another one after a restart under the same id.
[[nodiscard]] endpoint_tag tag_of(const catalog::endpoint& entry);
[[nodiscard]] team_tag tag_of(const core::team_id& team);

[[nodiscard]] endpoint_state* find(fleet_book& book, endpoint_tag tag) noexcept;

/// @brief Takes over which endpoints exist.
/// @param instances Over which an endpoint's connections are divided.
void update_endpoints(fleet_book& book,
                      const catalog::endpoint_list& list,
                      const catalog::route_table& table,
                      std::uint32_t instances);

/// @brief Notes that a request goes to an endpoint.
[[nodiscard]] running_request
note_sent(fleet_book& book, endpoint_tag endpoint, const prompt& prompt, core::instant now);

/// @brief Notes the first event of a request's answer.
start_error note_started(fleet_book& book, running_request& request, core::instant now);

/// @brief Notes an event of a stream's answer, the first one included.
void note_event(fleet_book& book, running_request& request, core::instant now);

/// @brief Notes a request's end.
void note_ended(fleet_book& book, const running_request& request, endpoint_sign sign, core::instant now);

/// @brief Mean time that a service's streams hold a place at their engine.
[[nodiscard]] core::duration mean_stream_time(const fleet_book& book, const core::service_id& service);

/// @brief Until a further request gets a place in an engine's batch.
/// @param stream_time The mean time that a place is held.
/// @remarks Answers engines with few places, at which streams end one after another: whoever comes when all
/// are taken waits for as many ends as wait before it.
[[nodiscard]] core::duration expected_place(const endpoint_state& state, core::duration stream_time) noexcept;

/// @brief Whether an endpoint takes new requests of this instance, as far as its own answers say.
[[nodiscard]] inline bool
accepts_requests(const fleet_book& book, const endpoint_state& state, core::instant now)
{
    return state.listed && !leaves(book.leaving, state.tag) && !is_closed(state.health, now);
}

/// @brief Whether a failure domain can be reached, as far as is known: its instances or endpoints were heard
/// of lately, or it was never heard of.
[[nodiscard]] bool
reachable(const fleet_book& book, const core::failure_domain_id& domain, core::instant now);

/// @brief Silence after which a domain counts as cut off. Instances send every 100 ms at least.
inline constexpr core::duration domain_silence = std::chrono::milliseconds{600};

/// @brief Silence after which a peer's running requests are taken as gone.
inline constexpr core::duration peer_silence = std::chrono::milliseconds{1500};

/// @brief Forgets the running requests of silent peers, old parts; relaxes learned speeds. Once a second.
void tidy(fleet_book& book, core::instant now);

} // namespace hibiscusfall::dispatch
