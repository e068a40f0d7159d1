#pragma once

#include "hibiscusfall/protocol/message.hpp"

#include <concepts>
#include <tuple>

/// The fields of each message in their order on the wire. A field may be added at the end of a message
/// only together with a new format version.
namespace hibiscusfall::protocol::detail
{

template <class type, class expected>
concept is = std::same_as<std::remove_const_t<type>, expected>;

auto fields(is<core::address> auto& value)
{
    return std::tie(value.host, value.port);
}

auto fields(is<member_record> auto& value)
{
    return std::tie(value.id,
                    value.domain,
                    value.inner,
                    value.operators,
                    value.incarnation,
                    value.status,
                    value.refutation);
}

auto fields(is<heartbeat> auto& value)
{
    return std::tie(value.round, value.configuration_revision, value.wants_answer, value.records);
}

auto fields(is<slot_id> auto& value)
{
    return std::tie(value.epoch, value.number);
}

auto fields(is<ticket_open> auto& value)
{
    return std::tie(value.ticket,
                    value.service,
                    value.team,
                    value.cost,
                    value.is_long,
                    value.remaining,
                    value.waited,
                    value.prefix,
                    value.excluded,
                    value.shard);
}

auto fields(is<ticket_cancel> auto& value)
{
    return std::tie(value.ticket, value.service, value.shard);
}

auto fields(is<ticket_refuse> auto& value)
{
    return std::tie(value.ticket, value.reason, value.retry_after);
}

auto fields(is<slot_grant> auto& value)
{
    return std::tie(
        value.ticket, value.slot, value.owner, value.endpoint, value.queue_length, value.alternatives);
}

auto fields(is<slot_release> auto& value)
{
    return std::tie(value.slot,
                    value.answered,
                    value.cost,
                    value.endpoint_failed,
                    value.first_token,
                    value.between_tokens);
}

auto fields(is<scheduler_acknowledgement> auto& value)
{
    return std::tie(value.slots, value.tickets);
}

auto fields(is<held_slot> auto& value)
{
    return std::tie(value.slot, value.ticket, value.endpoint, value.team, value.cost_so_far);
}

auto fields(is<slot_progress> auto& value)
{
    return std::tie(value.slot, value.cost_so_far, value.first_token);
}

auto fields(is<lease_renewal> auto& value)
{
    return std::tie(value.service,
                    value.shard,
                    value.count,
                    value.digest,
                    value.progress,
                    value.slots,
                    value.complete,
                    value.waiting);
}

auto fields(is<scheduler_notice> auto& value)
{
    return std::tie(
        value.service, value.domain, value.shard, value.epoch, value.wants_slots, value.wants_tickets);
}

auto fields(is<team_summary> auto& value)
{
    return std::tie(value.team, value.backlog, value.service, value.rate, value.running, value.lead);
}

auto fields(is<exchange_summary> auto& value)
{
    return std::tie(value.service,
                    value.domain,
                    value.shard,
                    value.to_shard,
                    value.epoch,
                    value.sequence,
                    value.slots,
                    value.spare,
                    value.teams);
}

auto fields(is<slot_offer> auto& value)
{
    return std::tie(value.service, value.to_shard, value.slot, value.team, value.endpoint);
}

auto fields(is<offer_answer> auto& value)
{
    return std::tie(value.slot, value.router, value.incarnation, value.ticket, value.cost);
}

auto fields(is<claim_digest> auto& value)
{
    return std::tie(value.high, value.low);
}

auto fields(is<claim_shard> auto& value)
{
    return std::tie(value.domain, value.number);
}

auto fields(is<claim_member> auto& value)
{
    return std::tie(value.id, value.incarnation);
}

auto fields(is<claim_holder> auto& value)
{
    return std::tie(value.router, value.request);
}

auto fields(is<claim_entry> auto& value)
{
    return std::tie(value.key,
                    value.content,
                    value.holder,
                    value.state,
                    value.version,
                    value.age,
                    value.status,
                    value.content_type,
                    value.body,
                    value.body_kept);
}

auto fields(is<claim_ask> auto& value)
{
    return std::tie(value.shard, value.request, value.key, value.content);
}

auto fields(is<claim_reply> auto& value)
{
    return std::tie(value.request,
                    value.word,
                    value.keeper,
                    value.status,
                    value.content_type,
                    value.body,
                    value.body_kept);
}

auto fields(is<claim_settle> auto& value)
{
    return std::tie(value.shard,
                    value.request,
                    value.key,
                    value.content,
                    value.state,
                    value.status,
                    value.content_type,
                    value.body,
                    value.body_kept);
}

auto fields(is<claim_settled> auto& value)
{
    return std::tie(value.request);
}

auto fields(is<claim_append> auto& value)
{
    return std::tie(
        value.shard, value.term, value.scan, value.after, value.through, value.last, value.entries);
}

auto fields(is<claim_append_reply> auto& value)
{
    return std::tie(value.shard, value.promised, value.scan, value.cursor, value.position);
}

auto fields(is<claim_promise_ask> auto& value)
{
    return std::tie(value.shard, value.term, value.after);
}

auto fields(is<claim_promise_page> auto& value)
{
    return std::tie(value.shard, value.promised, value.after, value.through, value.last, value.entries);
}

auto fields(is<claim_segment_name> auto& value)
{
    return std::tie(value.term, value.number);
}

auto fields(is<claim_record> auto& value)
{
    return std::tie(value.term, value.keeper, value.members, value.position, value.segments, value.entries);
}

auto fields(is<probe_request> auto& value)
{
    return std::tie(value.round, value.target);
}

auto fields(is<probe_result> auto& value)
{
    return std::tie(value.round);
}

auto fields(is<member_page_request> auto& value)
{
    return std::tie(value.after);
}

auto fields(is<member_page> auto& value)
{
    return std::tie(value.last, value.records);
}

auto fields(is<configuration_notice> auto& value)
{
    return std::tie(value.revision);
}

auto fields(is<leaving_endpoint> auto& value)
{
    return std::tie(value.id, value.remaining);
}

auto fields(is<leaving_notice> auto& value)
{
    return std::tie(value.endpoints);
}

} // namespace hibiscusfall::protocol::detail
