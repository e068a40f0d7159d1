#pragma once

#include "hibiscusfall/membership/membership.hpp"

namespace hibiscusfall::membership::detail
{

/// @brief A number below @p bound, from the state's own generator.
[[nodiscard]] std::size_t pick_below(membership& state, std::size_t bound) noexcept;

/// @brief Puts together the list that live_members gives.
void rebuild_live(membership& state);

/// @brief Has a record sent with the next heartbeats, a bounded number of times.
void spread(membership& state, const core::instance_id& id);

/// @brief Takes one record that another instance sent.
/// @param direct Whether the record's own instance sent it.
void merge(
    membership& state, const protocol::member_record& record, bool direct, core::instant now, effects& out);

/// @brief Marks a member suspect; it is removed unless it refutes in time.
void suspect(membership& state, member& target, core::instant now, effects& out);

/// @brief Removes the members whose time to refute is over, and forgets those removed long ago.
void end_suspicions(membership& state, core::instant now, effects& out);

/// @brief A heartbeat with the instance's own record, its view of the receiver where that is not alive,
/// and a bounded number of other records.
/// @param receiver Empty when only the address is known.
[[nodiscard]] protocol::heartbeat
make_heartbeat(membership& state, const core::instance_id& receiver, std::uint64_t round, bool wants_answer);

} // namespace hibiscusfall::membership::detail
