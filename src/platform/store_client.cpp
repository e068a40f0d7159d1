#include "hibiscusfall/platform/store_client.hpp"

#include "hibiscusfall/encoding/base64.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <utility>

namespace hibiscusfall::platform
{

namespace
{

using nlohmann::json;

struct call_result {
    bool reached = false; ///< Whether a connection was made, so that the call may have taken effect.
    std::optional<json> answer;
};

void count(const store_options& options, std::atomic<std::uint64_t> store_counters::*member)
{
    if (options.counters) {
        ++(*options.counters.*member);
    }
}

call_result send(const store_options& options, const char* path, const json& body, std::string& reason)
{
    httplib::Client client(options.store.host, options.store.port);
    client.set_connection_timeout(options.timeout);
    client.set_read_timeout(options.timeout);
    client.set_write_timeout(options.timeout);
    const auto result = client.Post(path, body.dump(), "application/json");
    if (!result) {
        reason = "store " + core::to_string(options.store) + ": " + httplib::to_string(result.error());
        return {.reached = result.error() != httplib::Error::Connection, .answer = std::nullopt};
    }
    if (result->status != 200) {
        reason = "store " + core::to_string(options.store) + ": status " + std::to_string(result->status);
        return {.reached = true, .answer = std::nullopt};
    }
    auto answer = json::parse(result->body, nullptr, false);
    if (answer.is_discarded()) {
        reason = "store " + core::to_string(options.store) + ": answer is not JSON";
        return {.reached = true, .answer = std::nullopt};
    }
    return {.reached = true, .answer = std::move(answer)};
}

call_result call(const store_options& options,
                 std::atomic<std::uint64_t> store_counters::*kind,
                 const char* path,
                 const json& body,
                 std::string& reason)
{
    count(options, kind);
    auto result = send(options, path, body, reason);
    if (!result.answer) {
        count(options, &store_counters::failures);
    }
    return result;
}

/// Numbers of 64 bits travel as text in the gateway's JSON.
std::int64_t number_of(const json& object, const char* key)
{
    const auto found = object.find(key);
    if (found == object.end()) {
        return 0;
    }
    if (found->is_number()) {
        return found->get<std::int64_t>();
    }
    return found->is_string() ? std::strtoll(found->get_ref<const std::string&>().c_str(), nullptr, 10) : 0;
}

stored_value value_of(const json& entry)
{
    const auto bytes = encoding::from_base64(entry.value("value", ""));
    if (!bytes) {
        telemetry::write_error(telemetry::log_event{"store_value_unreadable"}
                                   .with("revision", number_of(entry, "mod_revision"))
                                   .with("reason", "it is not base64; taken as empty"));
    }
    return {.value = bytes.value_or(std::string{}), .modified_at = number_of(entry, "mod_revision")};
}

/// Whether the store ended the watch on its side, as it does when the watch fell behind a compaction. The
/// connection stays open then, without any further word.
bool is_cancelled(const json& result)
{
    return result.value("canceled", false) || number_of(result, "compact_revision") != 0;
}

/// @returns Whether the watch goes on.
bool take_watch_line(std::string_view line, const store_client::watch_events& events)
{
    const auto message = json::parse(line, nullptr, false);
    if (!message.is_object()) {
        return true;
    }
    if (!message.contains("result") || !message["result"].is_object()) {
        return !message.contains("error");
    }
    const auto& result = message["result"];
    if (is_cancelled(result)) {
        return false;
    }
    if (result.value("created", false)) {
        events.established();
    }
    const auto list = result.find("events");
    if (list == result.end() || !list->is_array()) {
        return true;
    }
    for (const auto& event : *list) {
        if (event.is_object() && event.value("type", "PUT") == "PUT" && event.contains("kv")) {
            events.changed(value_of(event["kv"]));
        }
    }
    return true;
}

} // namespace

std::optional<stored_value> store_client::read(std::string_view key, std::string& reason) const
{
    const auto result = call(this->options,
                             &store_counters::reads,
                             "/v3/kv/range",
                             json{{"key", encoding::to_base64(key)}},
                             reason);
    if (!result.answer) {
        return std::nullopt;
    }
    const auto kvs = result.answer->find("kvs");
    if (kvs == result.answer->end() || !kvs->is_array() || kvs->empty()) {
        return stored_value{};
    }
    return value_of(kvs->front());
}

swap_outcome store_client::compare_and_swap(std::string_view key,
                                            std::int64_t expected,
                                            std::string_view value,
                                            std::string& reason) const
{
    return this->write_under_lease(key, expected, value, lease_id::none, reason).outcome;
}

swap_result store_client::write_under_lease(std::string_view key,
                                            std::int64_t expected,
                                            std::string_view value,
                                            lease_id lease,
                                            std::string& reason) const
{
    const auto name = encoding::to_base64(key);
    const json compare{
        {"key", name}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(expected)}};
    json put{{"key", name}, {"value", encoding::to_base64(value)}};
    if (lease != lease_id::none) {
        put["lease"] = std::to_string(static_cast<std::int64_t>(lease));
    }
    const json body{{"compare", json::array({compare})},
                    {"success", json::array({json{{"requestPut", std::move(put)}}})}};
    const auto result = call(this->options, &store_counters::writes, "/v3/kv/txn", body, reason);
    if (!result.answer) {
        return {.outcome = result.reached ? swap_outcome::unknown : swap_outcome::not_sent};
    }
    if (!result.answer->value("succeeded", false)) {
        return {.outcome = swap_outcome::conflict};
    }
    const auto header = result.answer->value("header", json::object());
    return {.outcome = swap_outcome::applied, .revision = number_of(header, "revision")};
}

lease_id store_client::grant_lease(std::chrono::seconds length, std::string& reason) const
{
    const json body{{"TTL", std::to_string(length.count())}, {"ID", "0"}};
    const auto result = call(this->options, &store_counters::lease_calls, "/v3/lease/grant", body, reason);
    return result.answer ? lease_id{number_of(*result.answer, "ID")} : lease_id::none;
}

std::optional<bool> store_client::renew_lease(lease_id lease, std::string& reason) const
{
    const json body{{"ID", std::to_string(static_cast<std::int64_t>(lease))}};
    const auto result =
        call(this->options, &store_counters::lease_calls, "/v3/lease/keepalive", body, reason);
    if (!result.answer) {
        return std::nullopt;
    }
    return number_of(result.answer->value("result", json::object()), "TTL") > 0;
}

void store_client::revoke_lease(lease_id lease) const
{
    std::string ignored;
    const json body{{"ID", std::to_string(static_cast<std::int64_t>(lease))}};
    static_cast<void>(call(this->options, &store_counters::lease_calls, "/v3/lease/revoke", body, ignored));
}

void store_client::watch(std::string_view key, core::duration silence, const watch_events& events) const
{
    count(this->options, &store_counters::watches);
    httplib::Client client(this->options.store.host, this->options.store.port);
    client.set_connection_timeout(this->options.timeout);
    client.set_read_timeout(silence);
    httplib::Request request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.body = json{{"create_request", {{"key", encoding::to_base64(key)}}}}.dump();
    request.set_header("Content-Type", "application/json");
    std::string pending;
    request.content_receiver =
        [&](const char* data, std::size_t length, std::uint64_t /*offset*/, std::uint64_t /*total*/) {
            pending.append(data, length);
            bool goes_on = true;
            for (auto end = pending.find('\n'); goes_on && end != std::string::npos;
                 end = pending.find('\n')) {
                goes_on = take_watch_line(std::string_view{pending}.substr(0, end), events);
                pending.erase(0, end + 1);
            }
            return goes_on && !events.cancelled();
        };
    events.started([&client] { client.stop(); });
    static_cast<void>(client.send(request));
    events.started(nullptr);
}

} // namespace hibiscusfall::platform
