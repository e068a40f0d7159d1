#include "played_reports.hpp"

#include <utility>

namespace hibiscusfall::testing
{

using std::chrono::milliseconds;

played_reports::played_reports(const conditions& options, std::mt19937& random)
    : known(static_cast<std::size_t>(options.instances)), options(options), random(random)
{
}

void played_reports::report(std::size_t from,
                            const std::vector<dispatch::crash_suspect>& suspects,
                            const std::vector<std::uint64_t>& exonerated,
                            core::instant now,
                            const std::vector<dispatch::crash_cause>& tried)
{
    peers::crash_findings findings;
    for (const auto& each : suspects) {
        findings.suspects.push_back(
            {.endpoint = each.endpoint,
             .team = each.team,
             .traits = each.traits,
             .age_ms = static_cast<std::uint32_t>(core::elapsed(each.crashed_at, now) / milliseconds{1}),
             .arrival = each.arrival});
    }
    for (const auto trait : exonerated) {
        findings.exonerated.push_back({.trait = trait, .age_ms = 0});
    }
    for (const auto& each : tried) {
        findings.causes.push_back(peers::to_entry(each, now));
    }
    if (!findings.empty()) {
        this->send(from, findings, now, false);
        this->send(from, findings, now, false);
    }
}

void played_reports::send_full(core::instant now)
{
    const auto since = now.time_since_epoch();
    const auto turns = static_cast<std::size_t>(this->options.full_interval / this->options.step);
    for (std::size_t from = 0; from < this->known.size(); ++from) {
        const auto& causes = this->known[from].causes;
        const auto turn = static_cast<std::size_t>(since / this->options.full_interval);
        if (!causes.empty() &&
            since % this->options.full_interval == this->options.step * static_cast<int>(from % turns)) {
            this->send(from, {.causes = {peers::to_entry(causes[turn % causes.size()], now)}}, now, true);
        }
    }
}

void played_reports::deliver(core::instant now)
{
    while (!this->under_way.empty() && this->under_way.begin()->first <= now) {
        const auto report = this->under_way.extract(this->under_way.begin()).mapped();
        const auto exonerated = peers::apply(this->known[report.to], report.findings, now);
        this->report(report.to, {}, exonerated, now);
    }
}

void played_reports::send(std::size_t from,
                          const peers::crash_findings& findings,
                          core::instant now,
                          bool full)
{
    std::uniform_int_distribution delay{5, static_cast<int>(this->options.max_delay / milliseconds{1})};
    for (std::size_t to = 0; to < this->known.size(); ++to) {
        if (to != from && this->hears(to, from, now, full) &&
            std::uniform_real_distribution{}(this->random) >= this->options.loss) {
            this->under_way.emplace(now + milliseconds{delay(this->random)},
                                    report_under_way{.to = to, .findings = findings});
        }
    }
}

bool played_reports::hears(std::size_t to, std::size_t from, core::instant now, bool full) const
{
    const auto half = this->known.size() / 2;
    if (now >= this->options.cut_from && now < this->options.cut_until && (to < half) != (from < half)) {
        return false;
    }
    const bool joined_late = this->options.last_joins != core::instant{} && to + 1 == this->known.size();
    return !joined_late || (full && now >= this->options.last_joins);
}

} // namespace hibiscusfall::testing
