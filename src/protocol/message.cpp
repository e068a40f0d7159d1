#include "hibiscusfall/protocol/message.hpp"

#include <array>

namespace hibiscusfall::protocol
{

std::string_view name_of_kind(std::size_t kind) noexcept
{
    // In the order of the alternatives.
    constexpr std::array<std::string_view, std::variant_size_v<message>> names{"heartbeat",
                                                                               "ticket_open",
                                                                               "ticket_cancel",
                                                                               "ticket_refuse",
                                                                               "slot_grant",
                                                                               "slot_release",
                                                                               "scheduler_acknowledgement",
                                                                               "lease_renewal",
                                                                               "claim_ask",
                                                                               "claim_reply",
                                                                               "claim_settle",
                                                                               "claim_settled",
                                                                               "claim_append",
                                                                               "claim_append_reply",
                                                                               "claim_promise_ask",
                                                                               "claim_promise_page",
                                                                               "scheduler_notice",
                                                                               "exchange_summary",
                                                                               "slot_offer",
                                                                               "offer_answer",
                                                                               "probe_request",
                                                                               "probe_result",
                                                                               "member_page_request",
                                                                               "member_page",
                                                                               "configuration_notice",
                                                                               "leaving_notice"};
    return kind < names.size() ? names.at(kind) : "unknown";
}

} // namespace hibiscusfall::protocol
