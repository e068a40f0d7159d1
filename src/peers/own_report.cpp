#include "exchange_limits.hpp"

#include "hibiscusfall/peers/peer_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

/// @file
/// @brief What this instance tells: the composition of its reports.

namespace hibiscusfall::peers
{

namespace
{

using std::chrono::milliseconds;

/// A slowed engine is told again after this, as others forget it after 400 ms.
constexpr core::duration slowness_interval = milliseconds{150};
/// Members that a whole report names, in turn, so that views which differ meet again.
constexpr std::size_t named_members = 4;
/// Parts that are told once more with the next report.
constexpr std::size_t most_parts = 200;

/// Stands for an age that is not known.
constexpr std::uint32_t unknown_age_ms = 3600000;

std::uint32_t to_milliseconds(core::duration value)
{
    const auto count = std::chrono::duration_cast<milliseconds>(value).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, unknown_age_ms));
}

} // namespace

load_report peer_exchange::make_report(core::instant now, bool whole)
{
    ++this->sequence;
    auto report = this->head_of_report(now);
    this->add_totals(report, whole, now);
    this->add_work(report, whole);
    if (whole) {
        this->add_some_members(report, now);
    }
    return report;
}

load_report peer_exchange::head_of_report(core::instant now) const
{
    return {.instance = this->entry.options.instance.str(),
            .incarnation = this->incarnation,
            .sequence = this->sequence,
            .domain = this->entry.options.domain.str(),
            .address = core::to_string(this->options.inner),
            .table_version = this->ports.table_version(),
            .list_revision = this->ports.list_revision(),
            .list_digest = this->ports.list_digest(),
            .store_age_ms = to_milliseconds(this->ports.store_age(now)),
            .store_troubled = this->ports.store_troubled(),
            .leaving = this->entry.leaving,
            .capacity = this->options.capacity};
}

void peer_exchange::add_some_members(load_report& report, core::instant now)
{
    auto next = this->members.upper_bound(this->last_named);
    for (std::size_t looked = 0; looked < this->members.size() && report.members.size() < named_members;
         ++looked) {
        next = next == this->members.end() ? this->members.begin() : next;
        if (next->second.heard + member_silence > now) {
            report.members.push_back(core::to_string(next->first));
            this->last_named = next->first;
        }
        ++next;
    }
}

void peer_exchange::add_totals(load_report& report, bool whole, core::instant now)
{
    for (const auto& state : this->entry.book.endpoints) {
        const double slowness = dispatch::own_slowness(state.pace, now);
        const auto percent = static_cast<std::uint32_t>(100.0 * slowness);
        auto& last = this->told[state.tag];
        const bool slowed = dispatch::is_slowed(slowness);
        const bool pace_news =
            (percent > 0 && slowed != dispatch::is_slowed(last.slowness_percent / 100.0)) ||
            (slowed && now - last.at >= slowness_interval);
        if (!whole && !pace_news && last.sent == state.own_sent_total &&
            last.running == state.model.own_running) {
            continue;
        }
        last = {.sent = state.own_sent_total,
                .running = state.model.own_running,
                .slowness_percent = percent > 0 ? percent : last.slowness_percent,
                .at = now};
        report.endpoints.push_back(
            {.endpoint = state.tag, .sent = last.sent, .running = last.running, .slowness_percent = percent});
    }
}

void peer_exchange::add_work(load_report& report, bool whole)
{
    auto& work = this->entry.work;
    for (const auto& [team, totals] : work.teams) {
        auto& last = this->told_teams[team];
        if (whole || last != totals) {
            last = totals;
            report.teams.push_back({.team = team, .asked = totals.first, .given = totals.second});
        }
    }
    // Parts go out twice, as a lost datagram would otherwise leave them unknown until their next use.
    report.parts = std::move(this->last_parts);
    this->last_parts.clear();
    for (const auto& [part, endpoint] : work.parts) {
        this->last_parts.push_back({.part = part, .endpoint = endpoint});
    }
    work.parts.clear();
    if (this->last_parts.size() > most_parts) {
        this->last_parts.erase(this->last_parts.begin(), this->last_parts.end() - most_parts);
    }
    report.parts.insert(report.parts.end(), this->last_parts.begin(), this->last_parts.end());
    report.departures = std::exchange(work.departures, {});
    if (whole) {
        report.departures.clear();
        for (const auto& [endpoint, at] : this->entry.book.leaving.announced) {
            report.departures.push_back(endpoint);
        }
    }
}

} // namespace hibiscusfall::peers
