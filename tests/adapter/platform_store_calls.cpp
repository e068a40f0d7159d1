#include "platform_store.hpp"

#include "hibiscusfall/encoding/base64.hpp"
#include "hibiscusfall/encoding/percent.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

/// @file
/// @brief The calls that the fake of the platform's store answers.

namespace hibiscusfall::testing
{

namespace
{

using nlohmann::json;
using namespace std::chrono_literals;

constexpr std::size_t max_change_entries = 32;

std::string query_parameter(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 1;
    const auto decoded = encoding::from_percent(target.substr(begin, target.find('&', begin) - begin));
    return decoded.value_or("");
}

} // namespace

platform_store::answer
platform_store::handle(const std::string& method, const std::string& target, const std::string& body)
{
    {
        const std::lock_guard lock(this->mutex);
        this->end_leases();
    }
    if (method == "POST" && target == "/api/kv-txn") {
        return this->handle_change(body);
    }
    if (method == "POST" && target == "/api/kv-lease") {
        return this->handle_lease(body);
    }
    if (constexpr std::string_view renewal = "/api/kv-keep/";
        method == "POST" && target.starts_with(renewal)) {
        return this->handle_renewal(target.substr(renewal.size()));
    }
    const auto prefix = query_parameter(target, "path-prefix");
    const auto after = query_parameter(target, "after");
    if (method == "GET" && target.starts_with("/api/kv-key")) {
        return this->handle_key(query_parameter(target, "key"));
    }
    if (method == "GET" && target.starts_with("/api/kv-range")) {
        return this->handle_range(prefix, this->active_fault == fault::repeated_page ? "" : after);
    }
    if (method == "GET" && target.starts_with("/api/kv-watch")) {
        return this->handle_watch(prefix, std::stoull(after), std::stoi(query_parameter(target, "wait-ms")));
    }
    const std::lock_guard lock(this->mutex);
    return this->make_answer(400, {});
}

platform_store::answer platform_store::handle_key(const std::string& key)
{
    std::function<void(const std::string&)> before;
    {
        const std::lock_guard lock(this->mutex);
        before = this->before_read;
    }
    if (before) {
        before(key);
    }
    const std::lock_guard lock(this->mutex);
    if (!this->items.contains(key)) {
        return this->make_answer(404, "{}");
    }
    auto found = this->describe(key);
    found["as-of"] = this->revision;
    return this->make_answer(200, found.dump());
}

platform_store::answer platform_store::handle_change(const std::string& body)
{
    const auto parsed = json::parse(body, nullptr, false);
    std::function<void()> before;
    {
        const std::lock_guard lock(this->mutex);
        before = this->before_change;
    }
    if (before) {
        before();
    }
    const std::lock_guard lock(this->mutex);
    const bool complete = parsed.is_object() && parsed.contains("expected-rev") &&
                          parsed.contains("set-keys") && parsed.contains("remove");
    if (!complete || parsed["expected-rev"].size() + parsed["set-keys"].size() + parsed["remove"].size() >
                         max_change_entries) {
        return this->make_answer(400, "{}");
    }
    json current = json::array();
    bool holds = true;
    for (const auto& each : parsed["expected-rev"]) {
        const auto key = each.at("key").get<std::string>();
        holds = holds && this->revision_of(key) == each.at("revision").get<std::uint64_t>();
        if (this->items.contains(key)) {
            current.push_back(this->describe(key));
        }
    }
    if (!holds) {
        return this->make_answer(412, json{{"items", current}}.dump());
    }
    for (const auto& each : parsed["set-keys"]) {
        const auto lease = each.at("lease").get<std::uint64_t>();
        if (lease != 0 && !this->leases.contains(lease)) {
            return this->make_answer(404, "{}");
        }
    }
    ++this->revision;
    for (const auto& each : parsed["set-keys"]) {
        this->set_item(each.at("key").get<std::string>(),
                       encoding::from_base64(each.at("value").get<std::string>()).value_or(""),
                       each.at("lease").get<std::uint64_t>());
    }
    for (const auto& each : parsed["remove"]) {
        this->remove_item(each.get<std::string>());
    }
    return this->make_answer(200, json{{"revision", this->revision}}.dump());
}

platform_store::answer platform_store::handle_lease(const std::string& body)
{
    const auto parsed = json::parse(body, nullptr, false);
    const std::lock_guard lock(this->mutex);
    if (!parsed.is_object() || !parsed.contains("ttl-ms")) {
        return this->make_answer(400, "{}");
    }
    const auto ttl_ms = std::min(parsed["ttl-ms"].get<std::int64_t>(), this->max_lease_ms.load());
    const auto lease = this->next_lease++;
    this->lease_times[lease] = std::chrono::milliseconds{ttl_ms};
    this->leases[lease] = std::chrono::steady_clock::now() + this->lease_times[lease];
    ++this->granted_leases;
    return this->make_answer(200, json{{"lease", lease}, {"ttl-ms", ttl_ms}}.dump());
}

platform_store::answer platform_store::handle_renewal(const std::string& id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->leases.find(std::stoull(id));
    if (found == this->leases.end()) {
        return this->make_answer(404, "{}");
    }
    const auto time = this->lease_times[found->first];
    found->second = std::chrono::steady_clock::now() + time;
    return this->make_answer(200, json{{"ttl-ms", time.count()}}.dump());
}

platform_store::answer platform_store::handle_range(const std::string& prefix, const std::string& after)
{
    const std::lock_guard lock(this->mutex);
    json page_items = json::array();
    bool has_more = false;
    for (const auto& [key, stored] : this->items) {
        if (!key.starts_with(prefix) || key <= after) {
            continue;
        }
        if (page_items.size() == this->page_size) {
            has_more = true;
            break;
        }
        page_items.push_back(this->describe(key));
    }
    auto page = this->make_answer(
        200, json{{"items", page_items}, {"has-more", has_more}, {"as-of", this->revision}}.dump());
    if (has_more && this->restored_after_page) {
        this->replace_with(*std::exchange(this->restored_after_page, std::nullopt));
    }
    return page;
}

platform_store::answer
platform_store::handle_watch(const std::string& prefix, std::uint64_t after, int wait_ms)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{wait_ms};
    while (true) {
        {
            const std::lock_guard lock(this->mutex);
            this->end_leases();
            if (after < this->compacted_revision || after > this->revision ||
                this->active_fault == fault::history_gone) {
                return this->make_answer(410, "{}");
            }
            json events = json::array();
            for (const auto& each : this->history) {
                if (each.revision <= after || !each.key.starts_with(prefix)) {
                    continue;
                }
                if (each.deleted) {
                    events.push_back({{"key", each.key}, {"revision", each.revision}, {"deleted", true}});
                } else {
                    events.push_back({{"key", each.key},
                                      {"revision", each.revision},
                                      {"value", encoding::to_base64(each.value)}});
                }
            }
            if (!events.empty() || std::chrono::steady_clock::now() >= deadline || this->stopping) {
                return this->make_answer(200, json{{"events", events}, {"as-of", this->revision}}.dump());
            }
        }
        std::this_thread::sleep_for(1ms);
    }
}

} // namespace hibiscusfall::testing
