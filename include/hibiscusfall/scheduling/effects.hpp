#pragma once

#include "hibiscusfall/core/slot_request.hpp"
#include "hibiscusfall/protocol/message.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <cstdint>
#include <vector>

namespace hibiscusfall::scheduling
{

/// @brief The final word on one ticket of this router.
struct ticket_answer {
    std::uint64_t ticket = 0;
    core::slot_decision answer;
};

/// @brief What a decision wants done: messages to send, tickets to answer, lines to log.
struct effects {
    std::vector<protocol::outgoing> messages;
    std::vector<ticket_answer> answers;
    std::vector<telemetry::log_event> decisions;
};

} // namespace hibiscusfall::scheduling
