#pragma once

#include "candidate.hpp"

#include <memory>
#include <variant>

namespace hibiscusfall::traffic::detail
{

/// @brief Either the endpoint whose answer has begun, or why none has.
using race_result = std::variant<std::unique_ptr<candidate>, core::verdict>;

/// @brief Sends a request to an endpoint and waits for the first byte of its answer.
/// @remarks A repeatable request whose first byte is far past the expected time is sent to a second endpoint
/// too, when the budget has a hedge left and a slot is free at once. The slower one is cancelled.
[[nodiscard]] race_result race_for_answer(relay_context& context, std::unique_ptr<candidate> first);

/// @brief Puts together what a slot is asked for.
[[nodiscard]] core::slot_request make_slot_request(const relay_context& context);

/// @brief Writes the log line of a routing decision.
void log_route(const relay_context& context, const core::slot_granted& slot, std::string_view reason);

/// @brief What a wait for the next bytes of an answer ended with.
enum class piece_wait : std::uint8_t { here, caller_gone, silent, cutting };

/// @brief Waits until the next piece of a begun answer can be read.
[[nodiscard]] piece_wait wait_for_piece(const relay_context& context, endpoint_exchange& exchange);

/// @brief The verdict of an answer whose next piece did not come.
[[nodiscard]] core::verdict describe(piece_wait ended, const configuration::endpoint& endpoint);

} // namespace hibiscusfall::traffic::detail
