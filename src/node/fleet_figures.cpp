#include "fleet_figures.hpp"

#include "peer_calls.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace hibiscusfall::node::detail
{

namespace
{

using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds ask_timeout{1000};
constexpr std::size_t most_askers = 16;
constexpr std::chrono::seconds fresh_age{5};
constexpr std::chrono::minutes forgotten_after{10};

json encode(const local_figures& figures)
{
    json teams = json::array();
    for (const auto& [key, team] : figures.teams) {
        teams.push_back({key.first.str(), key.second.str(), team.service, team.rate, team.backlog});
    }
    json endpoints = json::array();
    for (const auto& [id, slots] : figures.endpoints) {
        endpoints.push_back({id.str(), slots.busy, slots.limit});
    }
    return {{"teams", std::move(teams)}, {"endpoints", std::move(endpoints)}};
}

std::optional<local_figures> decode(const std::string& text)
{
    try {
        const auto from = json::parse(text);
        local_figures figures;
        for (const auto& row : from.at("teams")) {
            figures.teams[{core::team_id{row.at(0).get<std::string>()},
                           core::service_id{row.at(1).get<std::string>()}}] = {
                .service = row.at(2).get<double>(),
                .rate = row.at(3).get<double>(),
                .backlog = row.at(4).get<std::uint64_t>()};
        }
        for (const auto& row : from.at("endpoints")) {
            figures.endpoints[core::endpoint_id{row.at(0).get<std::string>()}] = {
                .busy = row.at(1).get<std::uint32_t>(), .limit = row.at(2).get<std::uint32_t>()};
        }
        return figures;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

fleet_figure_reader::fleet_figure_reader(node_core& given, figure_collector& own)
    : parts(given), collector(own), key(peer_call_key(given.settings.fleet_secret))
{
}

std::string fleet_figure_reader::write_own()
{
    return encode(this->collector.collect()).dump();
}

void fleet_figure_reader::ask(const protocol::member_record& member)
{
    std::optional<local_figures> figures;
    if (member.id == this->parts.self.id) {
        figures = this->collector.collect();
    } else {
        const auto answer = call_peer(this->key, member.operators, figures_method, {}, ask_timeout);
        const auto text = answer.values.texts.find("figures");
        if (answer && text != answer.values.texts.end()) {
            figures = decode(text->second);
        } else {
            telemetry::write(telemetry::log_event{"figures_not_read"}
                                 .with("peer", member.id.view())
                                 .with("reason", rpc::to_string(answer.error)));
        }
    }
    if (figures) {
        const std::lock_guard lock(this->mutex);
        this->answers[member.id] = {
            .domain = member.domain, .at = clock::now(), .figures = std::move(*figures)};
    }
}

std::set<core::failure_domain_id> fleet_figure_reader::declared_domains() const
{
    std::set<core::failure_domain_id> domains;
    if (const auto document = this->parts.configuration.current()) {
        for (const auto& [id, endpoint] : document->endpoints) {
            domains.insert(endpoint.domain);
        }
    }
    return domains;
}

fleet_figures fleet_figure_reader::read()
{
    const auto members =
        this->parts.loop.ask([this] { return membership::live_members(this->parts.members); });
    std::atomic<std::size_t> next = 0;
    {
        std::vector<std::jthread> askers;
        for (std::size_t count = 0; count < std::min(most_askers, members.size()); ++count) {
            askers.emplace_back([&] {
                for (auto index = next++; index < members.size(); index = next++) {
                    this->ask(members[index]);
                }
            });
        }
    }
    fleet_figures result;
    std::map<core::failure_domain_id, clock::duration> oldest;
    const auto now = clock::now();
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->answers, [now](const auto& item) { return now - item.second.at > forgotten_after; });
    for (const auto& [id, kept] : this->answers) {
        for (const auto& [key, team] : kept.figures.teams) {
            result.teams[key] += team;
        }
        for (const auto& [endpoint, slots] : kept.figures.endpoints) {
            result.endpoints[endpoint] = slots;
        }
        auto& age = oldest[kept.domain];
        age = std::max(age, now - kept.at);
    }
    for (const auto& domain : this->declared_domains()) {
        const auto known = oldest.find(domain);
        if (known == oldest.end()) {
            result.notes.push_back("failure domain " + domain.str() +
                                   " could not be asked; its figures are missing");
        } else if (known->second > fresh_age) {
            const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(known->second).count();
            result.notes.push_back("failure domain " + domain.str() +
                                   " could not be asked in full; figures are up to " +
                                   std::to_string(seconds) + " s old");
        }
    }
    return result;
}

} // namespace hibiscusfall::node::detail
