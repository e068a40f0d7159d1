#include "hibiscusfall/configuration/delta.hpp"

#include "document_json.hpp"

namespace hibiscusfall::configuration
{

namespace
{

using nlohmann::json;

template <class entries>
void add_changes(json& delta, const std::string& kind, const entries& older, const entries& newer)
{
    json changed = json::array();
    json removed = json::array();
    for (const auto& [id, value] : newer) {
        const auto known = older.find(id);
        if (known == older.end() || !(known->second == value)) {
            changed.push_back(detail::encode(value));
        }
    }
    for (const auto& [id, value] : older) {
        if (!newer.contains(id)) {
            removed.push_back(id.str());
        }
    }
    delta[kind] = std::move(changed);
    delta["removed_" + kind] = std::move(removed);
}

template <class entries>
void take_changes(const json& delta, const std::string& kind, entries& target)
{
    for (const auto& id : delta.at("removed_" + kind)) {
        target.erase(typename entries::key_type{id.template get<std::string>()});
    }
    detail::decode_into(delta.at(kind), target);
}

void take_history(const json& delta, document& target)
{
    for (const auto& item : delta.at("history")) {
        change_record record;
        detail::decode(item, record);
        target.history.push_back(std::move(record));
    }
    const auto kept = delta.at("history_length").get<std::size_t>();
    if (target.history.size() > kept) {
        const auto surplus = static_cast<std::ptrdiff_t>(target.history.size() - kept);
        target.history.erase(target.history.begin(), target.history.begin() + surplus);
    }
}

} // namespace

std::string write_delta(const document& older, const document& newer)
{
    json delta{{"from", older.revision},
               {"to", newer.revision},
               {"history", json::array()},
               {"history_length", newer.history.size()}};
    for (const auto& record : newer.history) {
        if (record.revision > older.revision) {
            delta["history"].push_back(detail::encode(record));
        }
    }
    add_changes(delta, "teams", older.teams, newer.teams);
    add_changes(delta, "services", older.services, newer.services);
    add_changes(delta, "endpoints", older.endpoints, newer.endpoints);
    return delta.dump();
}

std::optional<document> apply_delta(const document& older, std::string_view text, std::string& reason)
{
    try {
        const auto delta = json::parse(text);
        const auto from = delta.at("from").get<std::uint64_t>();
        const auto to = delta.at("to").get<std::uint64_t>();
        if (from != older.revision || to <= from) {
            reason = "configuration delta leads from revision " + std::to_string(from) + " to " +
                     std::to_string(to) + ", not from " + std::to_string(older.revision);
            return std::nullopt;
        }
        auto newer = older;
        newer.revision = to;
        take_changes(delta, "teams", newer.teams);
        take_changes(delta, "services", newer.services);
        take_changes(delta, "endpoints", newer.endpoints);
        take_history(delta, newer);
        newer.index_tokens();
        return newer;
    } catch (const json::exception& error) {
        reason = std::string{"configuration delta: "} + error.what();
        return std::nullopt;
    }
}

} // namespace hibiscusfall::configuration
