#include "hibiscusfall/dispatch/origin_handover.hpp"

#include "hibiscusfall/dispatch/record_need.hpp"

#include <algorithm>

namespace hibiscusfall::dispatch
{

namespace
{

bool is_waiting(const stream_origins& origins, const stream_origin& origin, core::instant now)
{
    return !origin.stored && !origin.relayed && origin.expires > now &&
           need_of_record(origins, origin) != record_need::none;
}

} // namespace

std::vector<stream_origin>
take_due(origin_handover& handover, stream_origins& origins, std::size_t most, core::instant now)
{
    if (!handover.needed) {
        handover.requests.clear();
        return {};
    }
    std::erase_if(handover.requests, [&](const auto& each) {
        const auto known = origins.known.find(each.first);
        return known == origins.known.end() || !is_waiting(origins, known->second, now);
    });
    std::vector<std::pair<std::uint32_t, stream_origin*>> due; // with the number of earlier requests
    for (auto& [stream, origin] : origins.known) {
        if (!is_waiting(origins, origin, now)) {
            continue;
        }
        const auto asked = handover.requests.find(stream);
        const bool is_new = asked == handover.requests.end() || asked->second.moves != origin.moves;
        if (is_new || asked->second.next <= now) {
            due.emplace_back(is_new ? 0U : asked->second.count, &origin);
        }
    }
    const auto taken = std::min(most, due.size());
    std::partial_sort(
        due.begin(),
        due.begin() + static_cast<std::ptrdiff_t>(taken),
        due.end(),
        [](const auto& left, const auto& right) {
            return std::pair{left.first, left.second->stream} < std::pair{right.first, right.second->stream};
        });
    std::vector<stream_origin> result;
    result.reserve(taken);
    for (std::size_t i = 0; i < taken; ++i) {
        const auto& [count, origin] = due[i];
        auto interval = handover.times.first_repeat;
        for (std::uint32_t j = 0; j < count && interval < handover.times.max_repeat; ++j) {
            interval *= 2;
        }
        handover.requests[origin->stream] = {.moves = origin->moves,
                                             .count = count + 1,
                                             .next = now + std::min(interval, handover.times.max_repeat)};
        origin->offered = true;
        result.push_back(*origin);
    }
    return result;
}

bool record_stored_by_peer(origin_handover& handover,
                           stream_origins& origins,
                           stream_tag stream,
                           std::uint32_t moves)
{
    const auto known = origins.known.find(stream);
    if (known == origins.known.end() || known->second.moves != moves) {
        return false;
    }
    known->second.stored = true;
    handover.requests.erase(stream);
    return true;
}

} // namespace hibiscusfall::dispatch
