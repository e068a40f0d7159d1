#pragma once

#include "attempt.hpp"

#include "hibiscusfall/dispatch/crash_attribution.hpp"
#include "hibiscusfall/relay/relay_server.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusfall::relay::detail
{

/// @brief An attempt whose endpoint is checked.
struct checked_attempt {
    dispatch::crash_suspect suspect;
    bool answered = false; ///< Whether its answer is whole if the endpoint has not crashed.
};

/// @brief Attempts whose answers have not begun, and broken ones whose endpoints are being checked.
struct crash_watch {
    std::unordered_map<std::uint64_t, request_state*> waiting; ///< By the ticket of the attempt.
    std::map<dispatch::endpoint_tag, std::vector<checked_attempt>> unconfirmed;
    std::vector<dispatch::crash_cause> known_causes; ///< Of these the log has a line.
};

/// @brief Records that the answer to an attempt has begun.
void record_answer_start(request_state& state, std::uint64_t ticket);

/// @brief Records that an endpoint has answered the request completely.
void record_answer_end(request_state& state);

/// @brief How far the answer of an attempt had come when its connection ended.
enum class answer_state : std::uint8_t {
    waiting,
    begun,    ///< This exonerates the segments of the prompt.
    delivered ///< Nothing but the end of the connection shows that it is whole.
};

/// @brief Checks whether an endpoint has crashed, after an attempt has ended without an answer that is known
/// to be whole. The attempt's request becomes a suspect if the endpoint refuses a connection.
/// @param connection_ended Whether the endpoint has ended the connection. Otherwise it is checked a little
/// later, as it may be about to crash.
void check_for_crash(request_state& state,
                     const dispatch::endpoint_state& endpoint,
                     answer_state answer,
                     bool connection_ended);

/// @brief Records that the request is sent to an endpoint, as a trial if it was rejected before.
void record_sending(request_state& state, std::uint64_t ticket);

/// @brief The cause of crashes because of which the request must not be sent; null if there is none.
[[nodiscard]] const dispatch::crash_cause* find_crash_cause(request_state& state);

/// @brief What a request has in common with a cause, for messages.
[[nodiscard]] std::string describe(const dispatch::crash_cause& cause,
                                   const dispatch::request_traits& request);

/// @brief Logs new and withdrawn causes. Cancels the attempts that are to be rejected and have not begun.
void apply_cause_changes(relay_server& server);

} // namespace hibiscusfall::relay::detail
