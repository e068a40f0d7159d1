#pragma once

#include "hibiscusfall/dispatch/fleet_book.hpp"

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hibiscusfall::peers
{

/// @brief Running totals of the sender at one endpoint. Totals rather than differences, so that a lost or
/// doubled datagram changes nothing once the next one is there.
struct endpoint_totals {
    dispatch::endpoint_tag endpoint = 0;
    std::uint64_t sent = 0;    ///< Tokens to read that it sent since its start.
    std::uint32_t running = 0; ///< Requests that run now.
    /// By what factor the endpoint is slower than usual, in hundredths; zero when the sender sees no stream.
    std::uint32_t slowness_percent = 0;
    MSGPACK_DEFINE(endpoint, sent, running, slowness_percent)
};

/// @brief Running totals of the sender for one team, in share tokens.
struct team_totals {
    dispatch::team_tag team = 0;
    double asked = 0;
    double given = 0;
    MSGPACK_DEFINE(team, asked, given)
};

/// @brief A prompt part that the sender lately sent to an endpoint.
struct part_sent {
    std::uint64_t part = 0;
    dispatch::endpoint_tag endpoint = 0;
    MSGPACK_DEFINE(part, endpoint)
};

/// @brief What an instance tells the others, as one datagram.
struct load_report {
    std::uint32_t format = 2;
    std::string instance;
    std::uint64_t incarnation = 0; ///< Unix microseconds of its start.
    std::uint64_t sequence = 0;
    std::string domain;
    std::string address; ///< Where it takes datagrams and catalog connections.
    std::uint64_t table_version = 0;
    std::uint64_t list_revision = 0;
    std::uint64_t list_digest = 0; ///< Of the endpoints that it knows.
    std::uint32_t store_age_ms =
        0; ///< Since the store last confirmed the configuration to it, or to its source.
    bool store_troubled = false; ///< Whether its last call of the store failed.
    bool leaving = false;
    std::vector<endpoint_totals> endpoints{};
    std::vector<team_totals> teams{};
    std::vector<part_sent> parts{};
    std::vector<std::string>
        members{};       ///< Addresses of some instances that the sender hears; all in a welcome.
    double capacity = 1; ///< Part of a core that the sender has.
    std::vector<dispatch::endpoint_tag> departures{}; ///< Endpoints that said that they leave.
    MSGPACK_DEFINE(format,
                   instance,
                   incarnation,
                   sequence,
                   domain,
                   address,
                   table_version,
                   list_revision,
                   list_digest,
                   store_age_ms,
                   store_troubled,
                   leaving,
                   endpoints,
                   teams,
                   parts,
                   members,
                   capacity,
                   departures)
};

inline constexpr std::uint32_t report_format = 2;

/// @brief Unpacks bytes from another process. An entry takes a byte at least, so no length beyond that of the
/// bytes is believed.
/// @param offset Where to begin; moved behind what was unpacked.
/// @throws msgpack::unpack_error
[[nodiscard]] msgpack::object_handle unpack_bounded(std::span<const char> bytes, std::size_t& offset);

/// @brief Writes a report as one datagram.
[[nodiscard]] std::string encode(const load_report& report);

/// @brief Reads the reports of a datagram, one after another; ends at the first that cannot be read.
/// @param unreadable Set when bytes are left that are no report of a known format.
[[nodiscard]] std::vector<load_report> decode_all(std::span<const char> datagram, bool& unreadable);

/// @brief Reads one report; nothing when it is none of a known format.
[[nodiscard]] std::optional<load_report> decode(std::span<const char> bytes);

/// @brief Takes a peer's report over: differences of its totals since its last one.
/// @returns False when it is older than what is known of that peer.
bool apply(dispatch::fleet_book& book, const load_report& report, core::instant now);

} // namespace hibiscusfall::peers
