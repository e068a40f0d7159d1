#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/protocol/membership_messages.hpp"

#include <map>
#include <set>
#include <span>

namespace hibiscusfall::membership
{

/// @brief Endpoints that the platform lists as leaving, and until when this is believed without further word.
/// Only some instances may be able to read the list; the others hear of it from them.
struct leaving_endpoints {
    core::duration believed_for = std::chrono::seconds{15};
    std::size_t most_in_message = 16;
    std::map<core::endpoint_id, core::instant> until;
    core::endpoint_id position; ///< Sent last.
};

/// @brief Takes the endpoints that the platform's list marks.
/// @returns Whether the set changed.
bool on_listed(leaving_endpoints& state, std::span<const core::endpoint_id> leaving, core::instant now);

/// @brief Takes what another instance knows.
/// @returns Whether the set changed.
bool on_notice(leaving_endpoints& state, const protocol::leaving_notice& message, core::instant now);

/// @brief Drops what was not confirmed in time.
/// @returns Whether the set changed.
bool on_tick(leaving_endpoints& state, core::instant now);

/// @brief What to tell another instance: a bounded part of the set, in rotation.
[[nodiscard]] protocol::leaving_notice make_notice(leaving_endpoints& state, core::instant now);

/// @brief The endpoints that get no new work.
[[nodiscard]] std::set<core::endpoint_id> leaving_set(const leaving_endpoints& state);

} // namespace hibiscusfall::membership
