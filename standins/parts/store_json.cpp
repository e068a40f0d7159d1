#include "standins/parts/store_json.hpp"

#include "hibiscusfall/encoding/base64.hpp"

#include <array>

namespace hibiscusfall::standins
{

namespace
{

using nlohmann::json;

json header(std::int64_t revision)
{
    return {{"revision", std::to_string(revision)}};
}

json encode(const stored_entry& entry)
{
    json result{{"key", encoding::to_base64(entry.key)},
                {"mod_revision", std::to_string(entry.mod_revision)}};
    if (entry.version != 0) {
        result["value"] = encoding::to_base64(entry.value);
        result["create_revision"] = std::to_string(entry.create_revision);
        result["version"] = std::to_string(entry.version);
    }
    if (entry.lease != 0) {
        result["lease"] = std::to_string(entry.lease);
    }
    return result;
}

std::string read_bytes(const json& from, const char* name)
{
    return from.contains(name) ? encoding::from_base64(from[name].get<std::string>()).value_or("")
                               : std::string{};
}

/// A member under its snake case or camel case name.
const json* find_member(const json& from, const char* snake, const char* camel)
{
    if (from.contains(snake)) {
        return &from[snake];
    }
    return from.contains(camel) ? &from[camel] : nullptr;
}

std::int64_t read_number_of(const json& from, const char* snake, const char* camel)
{
    return read_number(from, from.contains(snake) ? snake : camel, 0);
}

put_operation read_put(const json& from)
{
    return {.key = read_bytes(from, "key"),
            .value = read_bytes(from, "value"),
            .lease = read_number(from, "lease", 0)};
}

std::vector<operation> read_operations(const json& from)
{
    std::vector<operation> result;
    for (const auto& item : from) {
        if (const auto* put = find_member(item, "request_put", "requestPut")) {
            result.emplace_back(read_put(*put));
        } else if (const auto* range = find_member(item, "request_range", "requestRange")) {
            result.emplace_back(range_operation{read_key_range(*range)});
        } else if (const auto* erase = find_member(item, "request_delete_range", "requestDeleteRange")) {
            result.emplace_back(delete_operation{read_key_range(*erase)});
        }
    }
    return result;
}

compare_target read_target(const std::string& name)
{
    if (name == "MOD") {
        return compare_target::mod;
    }
    if (name == "CREATE") {
        return compare_target::create;
    }
    return name == "VALUE" ? compare_target::value : compare_target::version;
}

compare_relation read_relation(const std::string& name)
{
    if (name == "GREATER") {
        return compare_relation::greater;
    }
    if (name == "LESS") {
        return compare_relation::less;
    }
    return name == "NOT_EQUAL" ? compare_relation::not_equal : compare_relation::equal;
}

comparison read_comparison(const json& from)
{
    comparison result{.key = read_bytes(from, "key"),
                      .target = read_target(from.value("target", "VERSION")),
                      .relation = read_relation(from.value("result", "EQUAL")),
                      .number = 0,
                      .value = read_bytes(from, "value")};
    switch (result.target) {
    case compare_target::mod:
        result.number = read_number_of(from, "mod_revision", "modRevision");
        break;
    case compare_target::create:
        result.number = read_number_of(from, "create_revision", "createRevision");
        break;
    case compare_target::version:
        result.number = read_number(from, "version", 0);
        break;
    case compare_target::value:
        break;
    }
    return result;
}

json encode_range(const operation_result& result, std::int64_t revision)
{
    json answer{{"header", header(revision)}};
    if (!result.entries.empty()) {
        answer["kvs"] = json::array();
        for (const auto& entry : result.entries) {
            answer["kvs"].push_back(encode(entry));
        }
        answer["count"] = std::to_string(result.entries.size());
    }
    return answer;
}

json encode_result(const operation& wanted, const operation_result& result, std::int64_t revision)
{
    if (std::holds_alternative<range_operation>(wanted)) {
        return {{"response_range", encode_range(result, revision)}};
    }
    if (std::holds_alternative<delete_operation>(wanted)) {
        return {{"response_delete_range",
                 {{"header", header(revision)}, {"deleted", std::to_string(result.deleted)}}}};
    }
    return {{"response_put", {{"header", header(revision)}}}};
}

json transact(key_value_store& store, const json& body)
{
    std::vector<comparison> conditions;
    for (const auto& item : body.value("compare", json::array())) {
        conditions.push_back(read_comparison(item));
    }
    const auto on_success = read_operations(body.value("success", json::array()));
    const auto on_failure = read_operations(body.value("failure", json::array()));
    const auto result = store.transact(conditions, on_success, on_failure);
    json answer{{"header", header(result.revision)}};
    if (result.succeeded) {
        answer["succeeded"] = true;
    }
    const auto& chosen = result.succeeded ? on_success : on_failure;
    for (std::size_t index = 0; index < chosen.size(); ++index) {
        answer["responses"].push_back(encode_result(chosen[index], result.results[index], result.revision));
    }
    return answer;
}

json run_one(key_value_store& store, const operation& wanted)
{
    const auto result = store.transact({}, {wanted}, {});
    // The only member of the encoded result is the answer itself.
    return encode_result(wanted, result.results.front(), result.revision).front();
}

json grant_lease(key_value_store& store, const json& body)
{
    const auto ttl = read_number(body, "TTL", 0);
    const auto id = store.grant_lease(read_number(body, "ID", 0), std::chrono::seconds{ttl});
    return {{"header", header(store.revision())}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}};
}

json keep_alive(key_value_store& store, const json& body)
{
    const auto id = read_number(body, "ID", 0);
    json result{{"header", header(store.revision())}, {"ID", std::to_string(id)}};
    if (const auto ttl = store.keep_alive(id)) {
        result["TTL"] = std::to_string(ttl->count());
    }
    return {{"result", result}};
}

} // namespace

std::int64_t read_number(const json& from, const char* name, std::int64_t fallback)
{
    if (!from.contains(name)) {
        return fallback;
    }
    const auto& value = from[name];
    return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<std::int64_t>();
}

key_range read_key_range(const json& from)
{
    auto end = read_bytes(from, "range_end");
    if (end.empty()) {
        end = read_bytes(from, "rangeEnd");
    }
    return {.key = read_bytes(from, "key"), .end = std::move(end)};
}

std::optional<json> answer_store_call(key_value_store& store, std::string_view path, const json& body)
{
    if (path == "/v3/kv/txn") {
        return transact(store, body);
    }
    if (path == "/v3/kv/range") {
        return run_one(store, range_operation{read_key_range(body)});
    }
    if (path == "/v3/kv/put") {
        return run_one(store, read_put(body));
    }
    if (path == "/v3/kv/deleterange") {
        return run_one(store, delete_operation{read_key_range(body)});
    }
    if (path == "/v3/lease/grant") {
        return grant_lease(store, body);
    }
    if (path == "/v3/lease/keepalive") {
        return keep_alive(store, body);
    }
    if (path == "/v3/lease/revoke" || path == "/v3/kv/lease/revoke") {
        store.revoke_lease(read_number(body, "ID", 0));
        return json{{"header", header(store.revision())}};
    }
    return std::nullopt;
}

std::string write_watch_created(std::int64_t revision)
{
    return json{{"result", {{"header", header(revision)}, {"created", true}}}}.dump() + "\n";
}

std::string write_watch_line(const watch_batch& batch)
{
    json result{{"header", header(batch.revision)}};
    if (batch.compacted > 0) {
        result["canceled"] = true;
        result["compact_revision"] = std::to_string(batch.compacted);
    }
    for (const auto& change : batch.events) {
        json event{{"kv", encode(change.entry)}};
        if (change.deleted) {
            event["type"] = "DELETE";
        }
        result["events"].push_back(event);
    }
    return json{{"result", result}}.dump() + "\n";
}

} // namespace hibiscusfall::standins
