#include "hibiscusfall/peers/copy_requests.hpp"

#include <algorithm>
#include <vector>

namespace hibiscusfall::peers
{

namespace
{

bool is_overdue(const copy_requests& requests, const copy_requests::request& sent, core::instant now)
{
    return now - sent.sent_at >= (sent.answering ? requests.times.transfer_time : requests.times.patience);
}

} // namespace

std::optional<std::size_t> next_copy_source(copy_requests& requests,
                                            copy_requester requester,
                                            std::span<const copy_candidate> candidates,
                                            core::instant now)
{
    const auto& times = requests.times;
    std::erase_if(requests.unanswered,
                  [&](const auto& each) { return each.second + times.last_resort_time <= now; });
    std::erase_if(requests.pending,
                  [&](const auto& each) { return each.second.sent_at + times.last_resort_time <= now; });
    if (candidates.empty()) {
        requests.behind_since = core::instant::max();
        return std::nullopt;
    }
    requests.behind_since = std::min(requests.behind_since, now);
    requester.time_behind = core::elapsed(requests.behind_since, now);
    if (now < requests.next || requester.time_behind < requester.own_read_time) {
        return std::nullopt;
    }
    for (const auto& [source, sent] : requests.pending) {
        if (!is_overdue(requests, sent, now)) {
            return std::nullopt;
        }
        requests.unanswered.try_emplace(source, now);
    }
    if (requests.pending.size() >= copy_requests::max_pending) {
        return std::nullopt;
    }
    std::vector<copy_candidate> usable;
    std::vector<std::size_t> indices;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto failed = requests.unanswered.find(candidates[i].address);
        const bool unanswered = failed != requests.unanswered.end();
        const bool may_repeat =
            unanswered && requests.pending.empty() && failed->second + times.repeat_pause <= now;
        if (unanswered && !may_repeat) {
            continue;
        }
        usable.push_back(candidates[i]);
        usable.back().last_resort = unanswered;
        indices.push_back(i);
    }
    const auto chosen = choose_copy_source(requester, usable);
    if (!chosen) {
        return std::nullopt;
    }
    requests.pending[candidates[indices[*chosen]].address] = {.sent_at = now};
    return indices[*chosen];
}

void record_answer(copy_requests& requests, const core::address& source)
{
    if (const auto found = requests.pending.find(source); found != requests.pending.end()) {
        found->second.answering = true;
    }
}

void record_copy(copy_requests& requests, const core::address& source, bool newer, core::instant now)
{
    requests.unanswered.erase(source);
    if (!newer) {
        requests.pending.erase(source);
        requests.next = now + requests.times.repeat_pause;
        return;
    }
    requests.pending.clear();
    requests.behind_since = core::instant::max();
    requests.next = {};
}

void record_failure(copy_requests& requests, const core::address& source, core::instant now)
{
    requests.pending.erase(source);
    requests.unanswered[source] = now;
    requests.next = std::max(requests.next, now + requests.times.failure_pause);
}

} // namespace hibiscusfall::peers
