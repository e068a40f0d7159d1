#include "hibiscusfall/peers/peer_exchange.hpp"

#include "exchange_limits.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace hibiscusfall::peers
{

namespace
{

using std::chrono::milliseconds;

/// Longest time until a stream's deadline that a peer's request may state.
constexpr std::uint32_t max_left_ms = unknown_age_ms;

origin_entry to_entry(const dispatch::stream_origin& origin, core::instant now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(core::elapsed(now, origin.expires)).count();
    return {.stream = origin.stream,
            .service = origin.service.str(),
            .version = origin.version,
            .moves = origin.moves,
            .left_ms = static_cast<std::uint32_t>(std::clamp<std::int64_t>(left, 0, max_left_ms))};
}

} // namespace

void peer_exchange::hand_over(std::span<const dispatch::stream_origin> origins, core::instant now)
{
    std::vector<helper_candidate> candidates;
    for (const auto& [address, known] : this->members) {
        if (!known.name.empty() && !known.leaving && known.last_heard + member_timeout > now) {
            candidates.push_back(
                {.name = known.name, .address = address, .store_failing = known.store_failing});
        }
    }
    const auto before = this->helpers.current;
    const auto helper = choose_helper(this->helpers, this->entry.options.instance.view(), candidates, now);
    if (helper != before) {
        telemetry::write(telemetry::log_event{"stream_origins_helper"}
                             .with("peer", helper ? core::to_string(helper) : std::string{"none"})
                             .with("known", candidates.size()));
    }
    if (!helper) {
        return;
    }
    origin_request request;
    request.origins.reserve(origins.size());
    std::transform(origins.begin(),
                   origins.end(),
                   std::back_inserter(request.origins),
                   [now](const auto& each) { return to_entry(each, now); });
    this->send_to(helper, origin_request_message + encode(request));
}

void peer_exchange::confirm_origins(const core::address& peer,
                                    std::span<const dispatch::stream_origin> origins,
                                    std::uint64_t lease)
{
    origin_receipt receipt{.lease = lease};
    receipt.origins.reserve(origins.size());
    std::transform(origins.begin(), origins.end(), std::back_inserter(receipt.origins), [](const auto& each) {
        return stored_entry{.stream = each.stream, .moves = each.moves};
    });
    this->send_to(peer, origin_receipt_message + encode(receipt));
}

bool peer_exchange::apply_origin_request(std::span<const char> bytes,
                                         const core::address& from,
                                         core::instant now)
{
    auto request = decode_origin_request(bytes);
    if (!request || !this->catalog.store_origins) {
        return request.has_value();
    }
    std::vector<dispatch::stream_origin> origins;
    origins.reserve(request->origins.size());
    for (auto& each : request->origins) {
        if (each.service.empty() || each.version.empty()) {
            return false;
        }
        origins.push_back({.stream = each.stream,
                           .service = core::service_id{std::move(each.service)},
                           .version = std::move(each.version),
                           .expires = now + milliseconds{std::min(each.left_ms, max_left_ms)},
                           .moves = each.moves});
    }
    this->catalog.store_origins(from, std::move(origins));
    return true;
}

bool peer_exchange::apply_origin_receipt(std::span<const char> bytes, const core::address& from)
{
    const auto receipt = decode_origin_receipt(bytes);
    if (!receipt) {
        return false;
    }
    record_receipt(this->helpers, from);
    if (this->catalog.origin_stored) {
        for (const auto& each : receipt->origins) {
            this->catalog.origin_stored(each.stream, each.moves, receipt->lease);
        }
    }
    return true;
}

} // namespace hibiscusfall::peers
