#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/protocol/message.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace hibiscusfall::membership
{

/// @brief Times and bounds of the failure detector.
struct membership_options {
    core::duration tick_interval = std::chrono::milliseconds{100};
    core::duration heartbeat_interval = std::chrono::milliseconds{250}; ///< One member is probed in each.
    core::duration answer_timeout = std::chrono::milliseconds{200};     ///< Then others are asked to probe.
    core::duration indirect_timeout = std::chrono::milliseconds{300};   ///< Then the member is suspect.
    core::duration suspicion = std::chrono::milliseconds{600}; ///< For ten members; see suspicion_time.
    core::duration rare_probe_interval = std::chrono::milliseconds{1000}; ///< For seeds and removed members.
    core::duration rejoin_period =
        std::chrono::seconds{2}; ///< Probes removed members at each tick after one came back.
    core::duration pause_limit = std::chrono::milliseconds{700}; ///< A longer gap between ticks was a pause.
    core::duration forget_after = std::chrono::hours{1};         ///< Removed members are no longer probed.
    std::size_t helpers = 2;                                     ///< Members asked for an indirect probe.
    std::size_t updates = 2;       ///< Changed records in one heartbeat; one more of the slow pass follows.
    std::size_t page_records = 12; ///< Records in one page of a full synchronisation.
    core::duration page_interval = std::chrono::milliseconds{200};
    core::duration pull_period = std::chrono::seconds{6}; ///< Pages are read so long after the last news.
};

/// @brief One instance as this one sees it.
struct member {
    protocol::member_record record;
    core::instant heard{};                    ///< When it was last heard of directly.
    std::optional<core::instant> doubt_until; ///< It is removed then unless it refutes.
    core::instant removed_at{};
};

/// @brief A heartbeat that waits for its answer.
struct probe {
    core::instance_id target;
    core::instant due{};
    bool indirect = false;      ///< Others were asked already.
    core::address on_behalf_of; ///< Set when another instance asked for this probe.
    std::uint64_t their_round = 0;
};

/// @brief One line of the platform's list of instances.
struct listed_instance {
    core::instance_id id;
    core::address inner;
    bool leaving = false;
};

/// @brief A message to be sent to an address.
struct outgoing {
    core::address to;
    protocol::message body;
};

/// @brief A member whose condition changed, for the log.
struct transition {
    core::instance_id id;
    protocol::member_status status{};
    std::uint64_t incarnation = 0;
};

/// @brief A member that has a higher configuration revision in force.
struct revision_notice {
    core::instance_id id;
    std::uint64_t revision = 0;
};

/// @brief What is to be done after an event.
struct effects {
    std::vector<outgoing> messages;
    std::vector<transition> transitions;
    std::vector<revision_notice> newer_revisions;
    bool live_changed = false; ///< live_members gives another answer than before.

    /// The higher incarnation of an earlier process at this instance's own address, whose wall clock was
    /// ahead. The others take this instance for the older one until it starts with a still higher number.
    std::optional<std::uint64_t> outdated_by;
};

/// @brief The instances that this one knows of, and its failure detector.
struct membership {
    membership_options options;
    protocol::member_record self;
    std::uint64_t configuration_revision = 0; ///< Sent with each heartbeat.
    std::map<core::instance_id, member> others;
    std::vector<protocol::member_record> live; ///< See live_members.

    std::vector<core::address> contacts; ///< Seeds and listed addresses, probed while no member has them.
    std::set<core::instance_id> listed_leaving;
    std::map<core::instance_id, std::size_t> updates; ///< How often a changed record is still to be sent.
    std::map<std::uint64_t, probe> probes;            ///< By round.
    std::vector<core::instance_id> order;             ///< Members still to be probed in this pass.
    core::instance_id sync_position;                  ///< The record sent last by the slow full pass.
    core::instance_id rare_position;
    std::size_t contact_position = 0;
    bool probe_contact_next = true;
    std::optional<core::instant> pull_until; ///< Until then the lists of others are read, page by page.
    core::instance_id page_position;
    core::instant next_page{};
    std::uint64_t round = 0;
    std::uint64_t random_state = 1;
    std::optional<core::instant> last_tick;
    core::instant next_heartbeat{};
    core::instant next_rare_probe{};
    core::instant last_return{}; ///< When a removed member last came back.
};

/// @brief Sets the instance's own record and the addresses to ask first.
void start(membership& state,
           protocol::member_record self,
           std::vector<core::address> seeds,
           std::uint64_t random_seed);

/// @name Events
void on_heartbeat(membership& state, const protocol::heartbeat& message, core::instant now, effects& out);
void on_probe_request(membership& state,
                      const core::instance_id& from,
                      const protocol::probe_request& message,
                      core::instant now,
                      effects& out);
void on_probe_result(membership& state, const protocol::probe_result& message);
void on_page_request(membership& state,
                     const core::instance_id& from,
                     const protocol::member_page_request& message,
                     effects& out);
void on_page(membership& state, const protocol::member_page& message, core::instant now, effects& out);
void on_tick(membership& state, core::instant now, effects& out);

/// @brief Takes the platform's lagging list. A leaving mark counts when it appears, for the incarnation
/// known then, so that a mark that lags behind a restart harms nobody.
void on_platform_list(membership& state,
                      std::span<const listed_instance> list,
                      core::instant now,
                      effects& out);

/// @brief Makes this instance leave: it gets no new work, and tells the others at once.
void leave(membership& state, core::instant now, effects& out);

/// @name Questions
/// @brief All members that may get work, this instance included, ordered by name.
/// @remarks Kept up to date with each event; costs nothing to ask.
[[nodiscard]] inline const std::vector<protocol::member_record>&
live_members(const membership& state) noexcept
{
    return state.live;
}

/// @brief Where an instance takes datagrams; null when it is unknown or removed.
[[nodiscard]] const core::address* find_address(const membership& state,
                                                const core::instance_id& id) noexcept;

/// @brief Up to @p count live members other than this one, picked at random.
[[nodiscard]] std::vector<protocol::member_record> pick_live(membership& state, std::size_t count);

/// @brief How long a suspect has to refute. It grows with the logarithm of the number of members, because
/// news spreads in that many rounds.
[[nodiscard]] core::duration suspicion_time(const membership& state) noexcept;

} // namespace hibiscusfall::membership
