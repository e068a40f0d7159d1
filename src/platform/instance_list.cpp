#include "hibiscusfall/platform/instance_list.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace hibiscusfall::platform
{

namespace
{

using nlohmann::json;

std::string text_of(const json& item, const char* key)
{
    const auto found = item.find(key);
    return found != item.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

std::optional<listed_entry> parse_entry(const json& item)
{
    if (!item.is_object()) {
        return std::nullopt;
    }
    const auto mark = item.find("endpoint");
    listed_entry entry{.id = text_of(item, "id"),
                       .endpoint = mark != item.end() && mark->is_boolean() && mark->get<bool>(),
                       .leaving = text_of(item, "state") == "leaving"};
    const auto inner = core::parse_address(text_of(item, "inner"));
    if (!core::is_valid_name(entry.id) || (!entry.endpoint && !inner)) {
        return std::nullopt;
    }
    entry.inner = inner.value_or(core::address{});
    return entry;
}

} // namespace

std::optional<std::vector<listed_entry>> parse_instance_list(std::string_view text, std::string& reason)
{
    const auto list = json::parse(text, nullptr, false);
    if (!list.is_array()) {
        reason = "the platform's instance list is no JSON list";
        return std::nullopt;
    }
    std::vector<listed_entry> entries;
    for (const auto& item : list) {
        if (auto entry = parse_entry(item)) {
            entries.push_back(std::move(*entry));
        }
    }
    return entries;
}

instance_list_port make_http_instance_list(const core::address& platform, core::duration timeout)
{
    return {.read = [platform, timeout](std::string& reason) -> std::optional<std::vector<listed_entry>> {
        httplib::Client client(platform.host, platform.port);
        client.set_connection_timeout(timeout);
        client.set_read_timeout(timeout);
        const auto answer = client.Get("/instances");
        if (!answer || answer->status != 200) {
            reason =
                "platform " + core::to_string(platform) + ": " +
                (answer ? "status " + std::to_string(answer->status) : httplib::to_string(answer.error()));
            return std::nullopt;
        }
        return parse_instance_list(answer->body, reason);
    }};
}

} // namespace hibiscusfall::platform
