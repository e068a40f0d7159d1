#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace hibiscusfall::configuration
{

/// @brief Times of a keeper.
struct keeper_options {
    core::duration shortest_poll = std::chrono::seconds{10};
    core::duration poll_per_member = std::chrono::seconds{1};        ///< Polls of the fleet: one a second.
    core::duration unwatched_poll = std::chrono::milliseconds{1000}; ///< Of a watcher without a watch.
    core::duration watched_poll = std::chrono::seconds{15};          ///< Finds out a watch that skipped.
    core::duration first_retry = std::chrono::milliseconds{300};     ///< While there is no revision yet.
    core::duration longest_retry = std::chrono::seconds{5};
    core::duration fetch_timeout = std::chrono::seconds{3};
};

/// @brief What a keeper wants done.
struct keeper_effects {
    std::optional<core::instance_id> fetch_from; ///< Ask this peer for a higher revision.
    bool read_store = false;
    bool notify = false; ///< Tell a few members of the revision in force.
};

/// @brief Decides where the configuration comes from: higher revisions of peers, the watch, rare polls.
struct keeper {
    keeper_options options;
    std::uint64_t revision = 0; ///< In force; 0 for none.
    std::size_t members = 1;
    bool watcher = false;  ///< This instance holds the watch of its failure domain.
    bool watching = false; ///< The watch is established.
    std::uint64_t random_state = 1;

    std::map<core::instance_id, std::uint64_t> offers; ///< Higher revisions that peers have in force.
    std::optional<core::instance_id> fetching;
    core::instant fetch_due{};
    bool reading = false;
    bool read_again = false; ///< The watch began during a read, which may have been too early.
    core::instant next_read{};
    core::duration retry{};
};

/// @name Events
void on_peer_revision(keeper& state,
                      const core::instance_id& peer,
                      std::uint64_t revision,
                      core::instant now,
                      keeper_effects& out);

/// @brief A document of this revision is at hand.
/// @returns Whether it is to be put in force: only when it is higher than the one in force.
[[nodiscard]] bool on_document(keeper& state, std::uint64_t revision, core::instant now, keeper_effects& out);

void on_fetch_ended(keeper& state, core::instant now, keeper_effects& out);
void on_store_read(keeper& state, bool reached, core::instant now);

/// @param watcher Whether this instance is first in the order of its failure domain.
void on_members(keeper& state, std::size_t members, bool watcher, core::instant now);

/// @brief The watch was established (and may have skipped changes before), or ended.
void on_watch(keeper& state, bool established, core::instant now);
void on_tick(keeper& state, core::instant now, keeper_effects& out);

} // namespace hibiscusfall::configuration
