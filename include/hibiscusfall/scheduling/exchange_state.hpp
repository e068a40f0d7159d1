#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/protocol/scheduling_messages.hpp"
#include "hibiscusfall/scheduling/service_forecast.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace hibiscusfall::scheduling
{

/// @brief One scheduler of the service: a shard of a failure domain.
struct peer_key {
    core::failure_domain_id domain;
    std::uint32_t shard = 0;

    [[nodiscard]] friend auto operator<=>(const peer_key&, const peer_key&) = default;
};

/// @brief A team at a scheduler elsewhere.
struct remote_team {
    double service = 0;
    double running = 0;
    double rate = 0; ///< At which its service is expected to go on.
    core::instant told{};
    std::uint32_t backlog = 0;
    bool was_silent = true;           ///< Nothing was heard of it for long, or ever.
    core::instant no_offers_before{}; ///< After an offer was declined or not answered.
};

/// @brief What a scheduler elsewhere was told of a team here.
struct told_team {
    service_forecast service;
    std::uint32_t backlog = 0;
};

/// @brief What is known of a scheduler elsewhere.
struct exchange_peer {
    core::instance_id holder; ///< Who holds the role, as this instance sees it.
    std::uint64_t epoch = 0;  ///< 0 before the first summary.
    std::deque<std::uint64_t> past_epochs;
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    std::uint32_t spare = 0;
    core::instant heard{};
    core::duration round_trip{}; ///< Of offers, mean of late.
    std::map<core::team_id, remote_team> teams;

    /// @name For summaries to it
    core::team_id cursor; ///< The team sent last in turn; the next summary goes on after it.
    std::map<core::team_id, told_team> told;
};

/// @brief A slot that was offered and is not answered yet.
struct open_offer {
    protocol::slot_id slot;
    peer_key to;
    core::instant made{};
    core::instant ends{};
};

/// @brief Service that summaries do not show yet, held until they should: what a borrowed slot costs, or
/// what the other lenders are expected to offer while this one does.
struct expected_service {
    core::team_id team;
    double amount = 0;
    core::instant ends{};
};

/// @brief Offers made for one team in the present window.
struct offer_window {
    std::uint64_t number = 0;
    std::uint32_t made = 0;
};

/// @brief The exchange with the schedulers of the same service.
struct exchange_state {
    std::map<peer_key, exchange_peer> peers;
    std::map<core::team_id, offer_window> windows;
    std::deque<open_offer> offers;          ///< Oldest first.
    std::deque<expected_service> expected;  ///< Oldest first.
    std::deque<protocol::slot_id> received; ///< Offers answered lately, so that a doubled one is harmless.
    std::map<core::team_id, service_forecast> own;  ///< Service here, for the rates that summaries tell.
    std::map<core::team_id, double> expected_rates; ///< Of service elsewhere, all peers together.
    std::uint64_t sent_sequence = 0; ///< Of summaries; goes on when a peer is forgotten and comes back.
    double teams_allowed = 0;        ///< Teams that summaries may name at present.
    core::instant advanced{};        ///< Expected service elsewhere is counted up to here.
    peer_key next_peer;              ///< Who gets the next summary.
    core::instant next_summary{};
};

} // namespace hibiscusfall::scheduling
