#include "exchange_limits.hpp"

#include "hibiscusfall/peers/peer_exchange.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

/// @file
/// @brief Composition of this instance's reports.

namespace hibiscusfall::peers
{

namespace
{

using std::chrono::milliseconds;

/// Interval at which the slowness of a slowed engine is reported again, as other instances discard it after
/// 400 ms.
constexpr core::duration slowness_interval = milliseconds{150};
/// Number of member addresses in a full report, taken in turn, so that differing views of the fleet
/// converge.
constexpr std::size_t max_listed_members = 4;
/// Number of silent instances in a full report, taken in turn. An instance that restarts in a part of a split
/// network has to hear of all others before it may send to cold endpoints, within 5 s and about ten full
/// reports of each peer.
constexpr std::size_t max_listed_silent = 16;
/// Maximum number of prompt parts that are repeated in the next report.
constexpr std::size_t max_repeated_parts = 200;

} // namespace

load_report peer_exchange::make_report(core::instant now, bool full)
{
    ++this->sequence;
    auto report = this->make_report_header(now);
    this->add_endpoint_totals(report, full, now);
    this->add_recent_work(report, full);
    this->add_crash_findings(report, full, now);
    this->add_cold_findings(report, now);
    if (full) {
        this->add_member_addresses(report, now);
        this->add_silent_instances(report, max_listed_silent, now);
    }
    return report;
}

load_report peer_exchange::make_report_header(core::instant now) const
{
    const auto position = this->catalog.list_position();
    const auto& evacuated = this->catalog.evacuations();
    load_report report{
        .instance = this->entry.options.instance.str(),
        .incarnation = this->incarnation,
        .sequence = this->sequence,
        .domain = this->entry.options.domain.str(),
        .address = core::to_string(this->options.listen_address),
        .table_version = this->catalog.table_version(),
        .list_revision = position.revision,
        .list_digest = this->catalog.list_digest(),
        .configuration_age_ms = to_milliseconds(this->catalog.configuration_age(now)),
        .store_failing = this->catalog.store_failing(),
        .leaving = this->entry.shutting_down,
        .cpu_cores = this->options.cpu_cores,
        .list_era = position.era,
        .evacuations = {.era = evacuated.position.era, .revision = evacuated.position.revision}};
    for (const auto& domain : evacuated.domains) {
        report.evacuations.domains.push_back(domain.str());
    }
    return report;
}

void peer_exchange::add_member_addresses(load_report& report, core::instant now)
{
    auto next = this->members.upper_bound(this->last_listed_member);
    for (std::size_t checked = 0;
         checked < this->members.size() && report.member_addresses.size() < max_listed_members;
         ++checked) {
        next = next == this->members.end() ? this->members.begin() : next;
        if (next->second.last_heard + member_timeout > now) {
            report.member_addresses.push_back(core::to_string(next->first));
            this->last_listed_member = next->first;
        }
        ++next;
    }
}

void peer_exchange::add_endpoint_totals(load_report& report, bool full, core::instant now)
{
    for (const auto& state : this->entry.fleet.endpoints) {
        const double slowness = dispatch::own_slowdown(state.pace, now);
        const auto percent = static_cast<std::uint32_t>(100.0 * slowness);
        auto& last = this->reported_endpoints[state.tag];
        const bool slowed = dispatch::is_slowed(slowness);
        const bool slowness_changed =
            (percent > 0 && slowed != dispatch::is_slowed(last.slowness_percent / 100.0)) ||
            (slowed && now - last.reported_at >= slowness_interval);
        if (!full && !slowness_changed && last.sent_tokens == state.own_sent_total &&
            last.running_requests == state.model.own_requests) {
            continue;
        }
        last = {.sent_tokens = state.own_sent_total,
                .running_requests = state.model.own_requests,
                .slowness_percent = percent > 0 ? percent : last.slowness_percent,
                .reported_at = now};
        report.endpoints.push_back({.endpoint = state.tag,
                                    .sent_tokens = last.sent_tokens,
                                    .running_requests = last.running_requests,
                                    .slowness_percent = percent});
    }
}

void peer_exchange::add_crash_findings(load_report& report, bool full, core::instant now)
{
    // Like prompt parts, suspects, exonerated traits and trials are sent in two reports.
    auto suspects =
        std::exchange(this->last_suspects, std::exchange(this->entry.activity.crash_suspects, {}));
    suspects.insert(suspects.end(), this->last_suspects.begin(), this->last_suspects.end());
    for (const auto& each : suspects) {
        report.crashes.suspects.push_back({.endpoint = each.endpoint,
                                           .team = each.team,
                                           .traits = each.traits,
                                           .age_ms = to_milliseconds(core::elapsed(each.crashed_at, now)),
                                           .arrival = each.arrival});
    }
    auto exonerated =
        std::exchange(this->last_exonerated, std::exchange(this->entry.activity.exonerated_traits, {}));
    exonerated.insert(exonerated.end(), this->last_exonerated.begin(), this->last_exonerated.end());
    for (const auto& [trait, at] : exonerated) {
        report.crashes.exonerated.push_back(
            {.trait = trait, .age_ms = to_milliseconds(core::elapsed(at, now))});
    }
    auto tried = std::exchange(this->last_tried, std::exchange(this->entry.activity.tried_causes, {}));
    tried.insert(tried.end(), this->last_tried.begin(), this->last_tried.end());
    for (const auto& each : tried) {
        report.crashes.causes.push_back(to_entry(each, now));
    }
    const auto& causes = this->entry.fleet.crashes.causes;
    if (full && !causes.empty()) {
        report.crashes.causes.push_back(to_entry(causes[this->next_cause++ % causes.size()], now));
    }
}

void peer_exchange::add_cold_findings(load_report& report, core::instant now)
{
    // Sent in two reports, as a single one may be lost.
    auto findings =
        std::exchange(this->last_cold_findings, std::exchange(this->entry.fleet.cold.findings, {}));
    findings.insert(findings.end(), this->last_cold_findings.begin(), this->last_cold_findings.end());
    for (const auto& each : findings) {
        report.cold_endpoints.push_back({.endpoint = each.endpoint,
                                         .cold_left_ms = to_milliseconds(core::elapsed(now, each.until)),
                                         .stated = each.stated});
    }
}

void peer_exchange::add_silent_instances(load_report& report, std::size_t most, core::instant now)
{
    const auto& instances = this->entry.fleet.cold.instances;
    auto next = instances.upper_bound(this->last_silent_instance);
    for (std::size_t checked = 0; checked < instances.size() && report.silent_instances.size() < most;
         ++checked, ++next) {
        next = next == instances.end() ? instances.begin() : next;
        const auto silence = core::elapsed(next->second.last_heard, now);
        if (silence >= member_timeout) {
            report.silent_instances.push_back({.name = next->first, .silent_ms = to_milliseconds(silence)});
            this->last_silent_instance = next->first;
        }
    }
}

void peer_exchange::add_recent_work(load_report& report, bool full)
{
    auto& work = this->entry.activity;
    for (const auto& [team, totals] : work.teams) {
        auto& last = this->reported_teams[team];
        if (full || last != totals) {
            last = totals;
            report.teams.push_back(
                {.team = team, .requested_tokens = totals.first, .granted_tokens = totals.second});
        }
    }
    // Prompt parts are sent in two reports: after the loss of a single one, the others would not know them
    // until their next use.
    report.prompt_parts = std::move(this->last_prompt_parts);
    this->last_prompt_parts.clear();
    for (const auto& [part, endpoint] : work.parts) {
        this->last_prompt_parts.push_back({.part = part, .endpoint = endpoint});
    }
    work.parts.clear();
    if (this->last_prompt_parts.size() > max_repeated_parts) {
        this->last_prompt_parts.erase(this->last_prompt_parts.begin(),
                                      this->last_prompt_parts.end() - max_repeated_parts);
    }
    report.prompt_parts.insert(
        report.prompt_parts.end(), this->last_prompt_parts.begin(), this->last_prompt_parts.end());
    report.leaving_endpoints = std::exchange(work.leaving_endpoints, {});
    if (full) {
        report.leaving_endpoints.clear();
        for (const auto& [endpoint, at] : this->entry.fleet.announced_departures.announced_at) {
            report.leaving_endpoints.push_back(endpoint);
        }
    }
}

} // namespace hibiscusfall::peers
