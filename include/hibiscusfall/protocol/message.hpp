#pragma once

#include "hibiscusfall/protocol/claims_messages.hpp"
#include "hibiscusfall/protocol/configuration_messages.hpp"
#include "hibiscusfall/protocol/membership_messages.hpp"
#include "hibiscusfall/protocol/scheduling_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace hibiscusfall::protocol
{

/// @brief Any message between instances. The index is the number on the wire: add at the end only.
using message = std::variant<heartbeat,
                             ticket_open,
                             ticket_cancel,
                             ticket_refuse,
                             slot_grant,
                             slot_release,
                             scheduler_acknowledgement,
                             lease_renewal,
                             claim_ask,
                             claim_reply,
                             claim_settle,
                             claim_settled,
                             claim_append,
                             claim_append_reply,
                             claim_promise_ask,
                             claim_promise_page,
                             scheduler_notice,
                             exchange_summary,
                             slot_offer,
                             offer_answer,
                             probe_request,
                             probe_result,
                             member_page_request,
                             member_page,
                             configuration_notice,
                             leaving_notice>;

/// @brief The name of a kind of message, for example "slot_grant".
/// @param kind Index of the alternative; any other is "unknown".
[[nodiscard]] std::string_view name_of_kind(std::size_t kind) noexcept;

/// @brief Who sent a datagram, as its authenticated head says.
struct sender {
    core::instance_id id;
    std::uint64_t incarnation = 0;
};

/// @brief A message to be sent to one instance.
struct outgoing {
    core::instance_id to;
    message body;
};

/// @brief One datagram: its sender, its number, and the messages put together in it.
struct datagram {
    sender from;
    std::uint64_t sequence = 0; ///< Grows with each datagram that one incarnation sends.
    std::vector<message> messages;
};

} // namespace hibiscusfall::protocol
