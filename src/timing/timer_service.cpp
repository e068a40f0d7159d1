#include "hibiscusfall/timing/timer_service.hpp"

#include <utility>

namespace hibiscusfall::timing
{

timer_id timer_service::every(core::duration interval, core::instant now, callback call)
{
    return this->add(now + interval, interval, std::move(call));
}

timer_id timer_service::once(core::instant due, callback call)
{
    return this->add(due, core::duration::zero(), std::move(call));
}

timer_id timer_service::add(core::instant due, core::duration interval, callback call)
{
    const auto id = timer_id{++this->last_id};
    this->entries.emplace(due, entry{.id = id, .interval = interval, .call = std::move(call)});
    return id;
}

void timer_service::cancel(timer_id which)
{
    std::erase_if(this->entries, [which](const auto& item) { return item.second.id == which; });
}

void timer_service::advance(core::instant now)
{
    while (!this->entries.empty() && this->entries.begin()->first <= now) {
        auto node = this->entries.extract(this->entries.begin());
        const auto call = node.mapped().call;
        const auto interval = node.mapped().interval;
        if (interval > core::duration::zero()) {
            // Skips missed periods but keeps the phase, so that timers whose intervals are equal or multiples
            // of each other continue to fire together.
            const auto missed = (now - node.key()) / interval;
            node.key() += interval * (missed + 1);
            this->entries.insert(std::move(node));
        }
        call(now);
    }
}

std::optional<core::instant> timer_service::next_due() const
{
    if (this->entries.empty()) {
        return std::nullopt;
    }
    return this->entries.begin()->first;
}

} // namespace hibiscusfall::timing
