#pragma once

#include "attempt.hpp"

#include "hibiscusfall/dispatch/crash_attribution.hpp"
#include "hibiscusfall/relay/relay_server.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::relay::detail
{

/// @brief Attempts at engines whose answers have not begun, and broken ones whose engines are being checked.
struct crash_watch {
    std::unordered_map<std::uint64_t, request_state*> waiting; ///< By the ticket of the attempt.
    std::map<dispatch::endpoint_tag, std::vector<dispatch::crash_suspect>> unconfirmed;
    std::vector<dispatch::crash_cause> known_causes; ///< Of these the log has a line.
};

/// @brief Records that the answer to an attempt has begun.
void record_answer_start(request_state& state, std::uint64_t ticket);

/// @brief Checks whether an endpoint has crashed, after an attempt whose answer had not begun has broken. The
/// attempt's request becomes a suspect if the endpoint refuses a connection.
void check_for_crash(relay_server& server,
                     const dispatch::endpoint_state& endpoint,
                     const dispatch::prompt& prompt,
                     dispatch::team_tag team);

/// @brief Logs new and withdrawn causes. Cancels the attempts that are to be rejected and have not begun.
void apply_cause_changes(relay_server& server);

} // namespace hibiscusfall::relay::detail
