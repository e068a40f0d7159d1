#include "local_figures.hpp"

#include <chrono>

namespace hibiscusfall::node::detail
{

namespace
{

constexpr core::duration sample_interval = std::chrono::seconds{5};

} // namespace

team_figures& team_figures::operator+=(const team_figures& other) noexcept
{
    this->service += other.service;
    this->rate += other.rate;
    this->backlog += other.backlog;
    return *this;
}

figure_collector::figure_collector(node_core& given, scheduling_shell& slots)
    : parts(given), scheduling(slots)
{
}

void figure_collector::start(core::instant now)
{
    this->older.at = now;
    this->newer.at = now;
    this->parts.loop.timers().every(
        sample_interval, now, [this](core::instant at) { this->take_sample(at); });
}

local_figures figure_collector::collect()
{
    return this->parts.loop.ask([this] {
        auto figures = this->read_schedulers();
        this->add_rates(figures, std::chrono::steady_clock::now());
        return figures;
    });
}

local_figures figure_collector::read_schedulers() const
{
    local_figures figures;
    for (const auto& [role, scheduler] : this->scheduling.schedulers()) {
        for (const auto& [id, team] : scheduling::figures_of(scheduler).teams) {
            figures.teams[{id, role.service}] +=
                {.service = team.service, .rate = 0, .backlog = team.waiting};
        }
        for (const auto& [id, slots] : scheduler.endpoints.entries) {
            figures.endpoints[id] = {.busy = slots.busy, .limit = slots.limit};
        }
    }
    return figures;
}

void figure_collector::take_sample(core::instant now)
{
    this->older = std::move(this->newer);
    this->newer = {.at = now, .service = {}};
    for (const auto& [key, figures] : this->read_schedulers().teams) {
        this->newer.service[key] = figures.service;
    }
}

void figure_collector::add_rates(local_figures& figures, core::instant now) const
{
    const double seconds = std::chrono::duration<double>(now - this->older.at).count();
    if (seconds <= 0) {
        return;
    }
    for (auto& [key, team] : figures.teams) {
        const auto before = this->older.service.find(key);
        const double gained = team.service - (before == this->older.service.end() ? 0 : before->second);
        // A scheduler that has moved here since the sample starts below it.
        team.rate = gained > 0 ? gained / seconds : 0;
    }
}

} // namespace hibiscusfall::node::detail
