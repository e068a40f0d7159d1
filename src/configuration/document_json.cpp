#include "document_json.hpp"

namespace hibiscusfall::configuration::detail
{

using nlohmann::json;

json encode(const team& value)
{
    return {{"id", value.id.str()},
            {"share", value.share},
            {"token_hash", value.token_hash},
            {"home_domain", value.home_domain.str()}};
}

json encode(const service& value)
{
    return {{"id", value.id.str()},
            {"kind", value.kind == service_kind::model ? "model" : "plain"},
            {"repeatable", value.repeatable},
            {"worth_per_request", value.worth_per_request},
            {"worth_per_token", value.worth_per_token},
            {"draining", value.draining},
            {"resume_elsewhere", value.resume_elsewhere}};
}

json encode(const endpoint& value)
{
    json result{{"id", value.id.str()},
                {"service", value.service.str()},
                {"domain", value.domain.str()},
                {"address", core::to_string(value.address)},
                {"slots", value.slots},
                {"checks_fencing", value.checks_fencing},
                {"draining", value.draining}};
    // Written where they are set only, so that documents without them stay as they were.
    if (value.role) {
        result["role"] = to_string(*value.role);
    }
    for (const auto& model : value.models) {
        result["models"].push_back(model.str());
    }
    return result;
}

json encode(const change_record& value)
{
    return {{"change_id", value.change_id},
            {"revision", value.revision},
            {"command", value.command},
            {"author", value.author},
            {"unix_seconds", value.unix_seconds}};
}

void decode(const json& from, team& value)
{
    value = {.id = core::team_id{from.at("id").get<std::string>()},
             .share = from.at("share").get<double>(),
             .token_hash = from.at("token_hash").get<std::string>(),
             .home_domain = core::failure_domain_id{from.at("home_domain").get<std::string>()}};
}

void decode(const json& from, service& value)
{
    const auto kind = from.at("kind").get<std::string>();
    value = {.id = core::service_id{from.at("id").get<std::string>()},
             .kind = kind == "plain" ? service_kind::plain : service_kind::model,
             .repeatable = from.at("repeatable").get<bool>(),
             .worth_per_request = from.at("worth_per_request").get<double>(),
             .worth_per_token = from.at("worth_per_token").get<double>(),
             .draining = from.at("draining").get<bool>(),
             // Documents of instances that do not know the flag have none.
             .resume_elsewhere = from.value("resume_elsewhere", false)};
}

void decode(const json& from, endpoint& value)
{
    const auto address = core::parse_address(from.at("address").get<std::string>());
    value = {.id = core::endpoint_id{from.at("id").get<std::string>()},
             .service = core::service_id{from.at("service").get<std::string>()},
             .domain = core::failure_domain_id{from.at("domain").get<std::string>()},
             .address = address.value_or(core::address{}),
             .slots = from.at("slots").get<std::uint32_t>(),
             .checks_fencing = from.at("checks_fencing").get<bool>(),
             .draining = from.at("draining").get<bool>(),
             .role = parse_role(from.value("role", "")),
             .models = {}};
    for (const auto& model : from.value("models", json::array())) {
        value.models.emplace_back(model.get<std::string>());
    }
}

void decode(const json& from, change_record& value)
{
    value = {.change_id = from.at("change_id").get<std::string>(),
             .revision = from.at("revision").get<std::uint64_t>(),
             .command = from.at("command").get<std::string>(),
             .author = from.at("author").get<std::string>(),
             .unix_seconds = from.at("unix_seconds").get<std::int64_t>()};
}

} // namespace hibiscusfall::configuration::detail
