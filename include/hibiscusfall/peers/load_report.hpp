#pragma once

#include "hibiscusfall/catalog/store_position.hpp"
#include "hibiscusfall/dispatch/fleet_state.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hibiscusfall::peers
{

/// @brief The sender's running totals for one endpoint. Totals instead of differences, so that the next
/// report corrects the effect of a lost or duplicated datagram.
struct endpoint_totals {
    dispatch::endpoint_tag endpoint = 0;
    std::uint64_t sent_tokens = 0;      ///< Input tokens sent to the endpoint since the sender's start.
    std::uint32_t running_requests = 0; ///< The sender's requests now running on the endpoint.
    /// Ratio of the current to the usual time between stream events, in percent; zero if the sender has seen
    /// no stream of the endpoint recently.
    std::uint32_t slowness_percent = 0;
    MSGPACK_DEFINE(endpoint, sent_tokens, running_requests, slowness_percent)
};

/// @brief The sender's running totals for one team, in share tokens.
struct team_totals {
    dispatch::team_tag team = 0;
    double requested_tokens = 0;
    double granted_tokens = 0;
    MSGPACK_DEFINE(team, requested_tokens, granted_tokens)
};

/// @brief A part of a prompt that the sender recently sent to an endpoint.
struct sent_prompt_part {
    std::uint64_t part = 0;
    dispatch::endpoint_tag endpoint = 0;
    MSGPACK_DEFINE(part, endpoint)
};

/// @brief A request that was in progress at an endpoint that crashed.
struct suspect_entry {
    dispatch::endpoint_tag endpoint = 0;
    dispatch::team_tag team = 0;
    std::vector<std::uint64_t> traits{};
    std::uint32_t age_ms = 0;  ///< Time since the crash.
    std::uint32_t arrival = 0; ///< Of the request at the sender; zero if unknown.
    MSGPACK_DEFINE(endpoint, team, traits, age_ms, arrival)
};

/// @brief A trait that an answer shows not to be the cause of a crash of which it was suspected.
struct exonerated_trait {
    std::uint64_t trait = 0;
    std::uint32_t age_ms = 0; ///< Time since the answer.
    MSGPACK_DEFINE(trait, age_ms)
};

/// @brief Traits to which crashes are attributed.
struct cause_entry {
    std::vector<std::uint64_t> traits{};
    std::vector<dispatch::team_tag> team{}; ///< The only team concerned; empty for all teams.
    std::uint32_t crashes = 0;
    std::uint32_t age_ms = 0;  ///< Time since the last crash.
    std::uint32_t hold_ms = 0; ///< Time after the last crash for which requests are rejected.
    std::optional<std::uint32_t> trial_age_ms{}; ///< Time since a trial was sent; empty if none was.
    MSGPACK_DEFINE(traits, team, crashes, age_ms, hold_ms, trial_age_ms)
};

/// @brief What one report says of crashes.
struct crash_findings {
    std::vector<suspect_entry> suspects{};
    std::vector<exonerated_trait> exonerated{};
    std::vector<cause_entry>
        causes{}; ///< Those with a new trial, and one in a full report; all of them in a reply to a newcomer.
    [[nodiscard]] bool empty() const noexcept
    {
        return this->suspects.empty() && this->exonerated.empty() && this->causes.empty();
    }
    MSGPACK_DEFINE(suspects, exonerated, causes)
};

/// @brief An endpoint that is cold, or may be, as known to the sender.
struct cold_report {
    dispatch::endpoint_tag endpoint = 0;
    std::uint32_t cold_left_ms = 0; ///< Time until it is warm.
    bool stated = false; ///< Whether the endpoint itself stated it; otherwise the sender could not reach it.
    MSGPACK_DEFINE(endpoint, cold_left_ms, stated)
};

/// @brief The failure domains under evacuation, as known to the sender.
struct evacuation_report {
    std::uint64_t era = 0;      ///< Of @c revision.
    std::uint64_t revision = 0; ///< Of the store up to which the domains are known; zero if they are not.
    std::vector<std::string> domains{};
    MSGPACK_DEFINE(era, revision, domains)
};

/// @brief An instance that the sender does not hear now, but that keeps its rank for cold endpoints.
struct silent_instance {
    std::string name{};
    std::uint32_t silent_ms = 0; ///< Time since it was last heard.
    MSGPACK_DEFINE(name, silent_ms)
};

/// @brief State that an instance reports to the others, as one datagram.
struct load_report {
    std::uint32_t format = 2;
    std::string instance;
    std::uint64_t incarnation = 0; ///< Start time of the sender, in Unix microseconds.
    std::uint64_t sequence = 0;
    std::string domain;
    std::string address; ///< Address at which the sender accepts datagrams and catalog connections.
    std::uint64_t table_version = 0;
    std::uint64_t list_revision = 0;
    std::uint64_t list_digest = 0;          ///< Digest of the sender's endpoint list.
    std::uint32_t configuration_age_ms = 0; ///< Time since the store last confirmed the configuration,
                                            ///< directly or to the instance it came from.
    bool store_failing = false;             ///< Whether the sender's last store call failed.
    bool leaving = false;
    std::vector<endpoint_totals> endpoints{};
    std::vector<team_totals> teams{};
    std::vector<sent_prompt_part> prompt_parts{};
    std::vector<std::string> member_addresses{}; ///< Some live instances known to the sender; all of them in
                                                 ///< a reply to a newcomer.
    double cpu_cores = 1;                        ///< CPU available to the sender, in cores.
    std::vector<dispatch::endpoint_tag> leaving_endpoints{}; ///< Endpoints that announced that they leave.
    crash_findings crashes{};
    std::uint64_t list_era = 0; ///< Era of @c list_revision; zero from an instance that knows no eras.
    std::vector<cold_report> cold_endpoints{};
    evacuation_report evacuations{};
    std::vector<silent_instance> silent_instances{}; ///< Some of them; all of them in a reply to a newcomer.
    MSGPACK_DEFINE(format,
                   instance,
                   incarnation,
                   sequence,
                   domain,
                   address,
                   table_version,
                   list_revision,
                   list_digest,
                   configuration_age_ms,
                   store_failing,
                   leaving,
                   endpoints,
                   teams,
                   prompt_parts,
                   member_addresses,
                   cpu_cores,
                   leaving_endpoints,
                   crashes,
                   list_era,
                   cold_endpoints,
                   evacuations,
                   silent_instances)
};

/// @brief The position of the store that the sender's endpoint list reflects.
[[nodiscard]] inline catalog::store_position list_position(const load_report& report) noexcept
{
    return {.era = report.list_era, .revision = report.list_revision};
}

inline constexpr std::uint32_t report_format = 2;

/// @brief Unpacks an object from untrusted bytes. Limits every length to the number of bytes given, as each
/// element takes at least one byte.
/// @param offset Position to start at; advanced past the unpacked object.
/// @throws msgpack::unpack_error
[[nodiscard]] msgpack::object_handle unpack_bounded(std::span<const char> bytes, std::size_t& offset);

/// @brief A cause of crashes as a report states it.
[[nodiscard]] cause_entry to_entry(const dispatch::crash_cause& cause, core::instant now);

/// @brief Encodes a report as the body of a datagram.
[[nodiscard]] std::string encode(const load_report& report);

/// @brief Decodes the concatenated reports of a datagram; stops at the first malformed one.
/// @param malformed Set to whether bytes are left that are no report of a known format.
[[nodiscard]] std::vector<load_report> decode_all(std::span<const char> datagram, bool& malformed);

/// @brief Decodes one report; returns nothing if the bytes are not exactly one report of a known format.
[[nodiscard]] std::optional<load_report> decode(std::span<const char> bytes);

/// @brief Applies a peer's report: adds the differences of its totals from those it reported last.
/// @returns False if the report is older than what is known of that peer.
bool apply(dispatch::fleet_state& book, const load_report& report, core::instant now);

/// @brief Applies what a peer reports of crashes.
/// @returns Traits that answers at this instance exonerate, to be reported in turn.
std::vector<std::uint64_t>
apply(dispatch::crash_attribution& known, const crash_findings& findings, core::instant now);

} // namespace hibiscusfall::peers
