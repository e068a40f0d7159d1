#pragma once

#include "hibiscusfall/core/claim.hpp"
#include "hibiscusfall/protocol/message.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusfall::claims
{

/// @brief The final word on one request of this router.
struct claim_answer {
    std::uint64_t request = 0;
    core::claim_decision decision;
};

/// @brief A call to the platform's store. A shard has at most one at a time.
struct store_call {
    protocol::claim_shard shard;
    std::uint64_t number = 0; ///< Given back with the result.
    std::string key;
    bool is_swap = false;
    std::int64_t expected = 0; ///< Store revision of the value to replace; 0 when there must be none.
    std::string value;
};

/// @brief What a decision wants done.
struct effects {
    std::vector<protocol::outgoing> messages;
    std::vector<claim_answer> answers;
    std::vector<store_call> calls;
    std::vector<telemetry::log_event> events;
    std::vector<telemetry::log_event> decisions;
};

} // namespace hibiscusfall::claims
