#include "query_answers.hpp"

#include <algorithm>
#include <ctime>

namespace hibiscusfall::node::detail
{

namespace
{

using configuration::document;
using operators::format_number;
using operators::query_command;
using operators::query_subject;
using operators::table;

const char* yes_or_no(bool value)
{
    return value ? "yes" : "no";
}

std::map<core::team_id, team_figures> sum_by_team(const fleet_figures& figures)
{
    std::map<core::team_id, team_figures> sums;
    for (const auto& [key, team] : figures.teams) {
        sums[key.first] += team;
    }
    return sums;
}

/// The highest service per share among the backlogged teams; zero when none is.
double furthest_ahead(const document& current, const std::map<core::team_id, team_figures>& sums)
{
    double highest = 0;
    for (const auto& [id, figures] : sums) {
        const auto* team = current.find(id);
        if (team != nullptr && figures.backlog > 0) {
            highest = std::max(highest, figures.service / team->share);
        }
    }
    return highest;
}

table show_teams(const document& current, const fleet_figures& figures)
{
    table answer{.columns = {"team", "share", "home", "service", "rate", "backlog", "gap"},
                 .rows = {},
                 .notes = figures.notes};
    const auto sums = sum_by_team(figures);
    const double ahead = furthest_ahead(current, sums);
    for (const auto& [id, team] : current.teams) {
        const auto found = sums.find(id);
        const auto sum = found == sums.end() ? team_figures{} : found->second;
        const bool backlogged = sum.backlog > 0;
        answer.rows.push_back({id.str(),
                               format_number(team.share),
                               team.home_domain.str(),
                               format_number(sum.service),
                               format_number(sum.rate),
                               std::to_string(sum.backlog),
                               backlogged ? format_number(ahead - sum.service / team.share) : "-"});
    }
    return answer;
}

table show_team(const document& current, const fleet_figures& figures, const std::string& name)
{
    table answer{
        .columns = {"team", "service", "received", "rate", "backlog"}, .rows = {}, .notes = figures.notes};
    const core::team_id wanted{name};
    if (current.find(wanted) == nullptr) {
        answer.notes.push_back("no team is named \"" + name + "\"");
        return answer;
    }
    for (const auto& [key, team] : figures.teams) {
        if (key.first == wanted) {
            answer.rows.push_back({name,
                                   key.second.str(),
                                   format_number(team.service),
                                   format_number(team.rate),
                                   std::to_string(team.backlog)});
        }
    }
    return answer;
}

table show_services(const document& current)
{
    table answer{.columns = {"service",
                             "kind",
                             "repeatable",
                             "worth",
                             "token_worth",
                             "resume_elsewhere",
                             "draining",
                             "endpoints"},
                 .rows = {},
                 .notes = {}};
    for (const auto& [id, service] : current.services) {
        const auto& name = id;
        const auto endpoints =
            std::count_if(current.endpoints.begin(), current.endpoints.end(), [&name](const auto& item) {
                return item.second.service == name;
            });
        answer.rows.push_back({id.str(),
                               service.kind == configuration::service_kind::model ? "model" : "plain",
                               yes_or_no(service.repeatable),
                               format_number(service.worth_per_request),
                               format_number(service.worth_per_token),
                               yes_or_no(service.resume_elsewhere),
                               yes_or_no(service.draining),
                               std::to_string(endpoints)});
    }
    return answer;
}

std::string list_names(const std::vector<core::service_id>& names)
{
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ",") + name.str();
    }
    return text.empty() ? "-" : text;
}

table show_endpoints(const document& current, const fleet_figures& figures, const query_command& query)
{
    table answer{.columns = {"endpoint",
                             "service",
                             "domain",
                             "address",
                             "slots",
                             "limit",
                             "busy",
                             "fencing",
                             "draining",
                             "role",
                             "models"},
                 .rows = {},
                 .notes = figures.notes};
    for (const auto& [id, endpoint] : current.endpoints) {
        const bool wanted = (query.service.empty() || query.service == endpoint.service) &&
                            (query.domain.empty() || query.domain == endpoint.domain);
        if (!wanted) {
            continue;
        }
        const auto found = figures.endpoints.find(id);
        const bool known = found != figures.endpoints.end();
        answer.rows.push_back({id.str(),
                               endpoint.service.str(),
                               endpoint.domain.str(),
                               core::to_string(endpoint.address),
                               std::to_string(endpoint.slots),
                               known ? std::to_string(found->second.limit) : "-",
                               known ? std::to_string(found->second.busy) : "-",
                               endpoint.checks_fencing ? "checked" : "ignored",
                               yes_or_no(endpoint.draining),
                               endpoint.role ? std::string{to_string(*endpoint.role)} : "-",
                               list_names(endpoint.models)});
    }
    return answer;
}

table show_instances(node_core& parts)
{
    table answer{.columns = {"instance", "domain", "status", "incarnation", "inner", "operators"},
                 .rows = {},
                 .notes = {"as instance " + parts.self.id.str() + " sees it"}};
    const auto members = parts.loop.ask([&parts] { return membership::live_members(parts.members); });
    for (const auto& member : members) {
        answer.rows.push_back({member.id.str(),
                               member.domain.str(),
                               std::string{protocol::to_string(member.status)},
                               std::to_string(member.incarnation),
                               core::to_string(member.inner),
                               core::to_string(member.operators)});
    }
    return answer;
}

table show_configuration(const document& current)
{
    return {.columns = {"revision", "teams", "services", "endpoints", "bytes"},
            .rows = {{std::to_string(current.revision),
                      std::to_string(current.teams.size()),
                      std::to_string(current.services.size()),
                      std::to_string(current.endpoints.size()),
                      std::to_string(configuration::to_json(current).size())}},
            .notes = {}};
}

std::string format_time(std::int64_t unix_seconds)
{
    const std::time_t seconds = unix_seconds;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::string text(sizeof "2026-01-01T00:00:00Z", '\0');
    text.resize(std::strftime(text.data(), text.size(), "%FT%TZ", &parts));
    return text;
}

table show_history(const document& current, std::size_t last)
{
    table answer{.columns = {"revision", "when", "who", "command"}, .rows = {}, .notes = {}};
    const auto skipped = current.history.size() - std::min(last, current.history.size());
    for (std::size_t index = skipped; index < current.history.size(); ++index) {
        const auto& change = current.history[index];
        answer.rows.push_back({std::to_string(change.revision),
                               format_time(change.unix_seconds),
                               change.author,
                               change.command});
    }
    return answer;
}

} // namespace

table answer_query(node_core& parts, fleet_figure_reader& figures, const query_command& query)
{
    if (query.subject == query_subject::instances) {
        return show_instances(parts);
    }
    const auto current = parts.configuration.current();
    if (!current) {
        return {
            .columns = {"configuration"}, .rows = {}, .notes = {"this instance has no configuration yet"}};
    }
    switch (query.subject) {
    case query_subject::teams:
        return show_teams(*current, figures.read());
    case query_subject::team:
        return show_team(*current, figures.read(), query.name);
    case query_subject::services:
        return show_services(*current);
    case query_subject::endpoints:
        return show_endpoints(*current, figures.read(), query);
    case query_subject::configuration:
        return show_configuration(*current);
    case query_subject::history:
        return show_history(*current, query.last);
    case query_subject::instances:
        break;
    }
    return {};
}

} // namespace hibiscusfall::node::detail
