#include "store.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <thread>

namespace standin
{

namespace
{

using nlohmann::json;

std::string to_base64(const std::string& from)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < from.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < from.size() ? static_cast<unsigned char>(from[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            result += i + j <= from.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return result;
}

std::string from_base64(const std::string& from)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char each : from) {
        const auto digit = digits.find(each);
        if (digit == std::string_view::npos) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(digit);
        count += 6;
        if (count >= 8) {
            count -= 8;
            result += static_cast<char>(bits >> count & 255U);
        }
    }
    return result;
}

std::string from_percent(const std::string& from)
{
    std::string result;
    for (std::size_t i = 0; i < from.size(); ++i) {
        if (from[i] == '%' && i + 2 < from.size()) {
            result += static_cast<char>(std::stoi(from.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += from[i];
        }
    }
    return result;
}

std::string query_value(const std::string& query, const std::string& name)
{
    std::size_t position = 0;
    while (position < query.size()) {
        const auto end = std::min(query.find('&', position), query.size());
        const auto pair = query.substr(position, end - position);
        const auto equal = pair.find('=');
        if (pair.substr(0, equal) == name && equal != std::string::npos) {
            return from_percent(pair.substr(equal + 1));
        }
        position = end + 1;
    }
    return {};
}

std::uint64_t to_number(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::string response(int status, const std::string& body)
{
    return "HTTP/1.1 " + std::to_string(status) +
           " S\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

store::store(const address& at, planner plan, milliseconds idle)
    : plan_call(std::move(plan)), idle_limit(idle)
{
    socket = std::make_unique<listener>(at, [this](connection& client) { serve(client); });
}

store::~store()
{
    {
        const std::lock_guard lock{guard};
        stopping = true;
    }
    changed.notify_all();
    socket->stop();
    sleep_for(milliseconds{300}); // the threads of open connections end
}

void store::set(const std::string& key, const std::string& base64, std::uint64_t lease)
{
    ++revision;
    auto& target = items[key];
    target.value = base64;
    target.revision = revision;
    target.created = target.created == 0 ? revision : target.created;
    target.lease = lease;
    history.push_back({key, target, revision});
}

void store::erase(const std::string& key)
{
    if (items.erase(key) > 0) {
        ++revision;
        history.push_back({key, std::nullopt, revision});
    }
}

void store::end_leases()
{
    const auto now = steady::now();
    for (auto lease = leases.begin(); lease != leases.end();) {
        if (lease->second.first > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> ended;
        for (const auto& [key, each] : items) {
            if (each.lease == lease->first) {
                ended.push_back(key);
            }
        }
        for (const auto& key : ended) {
            erase(key);
        }
        lease = leases.erase(lease);
    }
}

instant store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock{guard};
    set(key, to_base64(value), 0);
    changed.notify_all();
    return steady::now();
}

instant store::remove(const std::string& key)
{
    const std::lock_guard lock{guard};
    erase(key);
    changed.notify_all();
    return steady::now();
}

std::optional<std::string> store::value(const std::string& key)
{
    const std::lock_guard lock{guard};
    const auto found = items.find(key);
    return found == items.end() ? std::nullopt : std::optional{from_base64(found->second.value)};
}

std::uint64_t store::calls()
{
    const std::lock_guard lock{guard};
    return call_count;
}

std::uint64_t store::cut_watches()
{
    const std::lock_guard lock{guard};
    return cut_count;
}

void store::serve(connection& client)
{
    while (true) {
        const auto request = client.receive(idle_limit, false);
        if (!request || stopping) {
            return;
        }
        const auto target = request->target();
        const auto mark = std::min(target.find('?'), target.size());
        const call_info call{.method = request->method(),
                             .path = target.substr(0, mark),
                             .query = target.substr(std::min(mark + 1, target.size())),
                             .body = request->body};
        if (!answer(client, call)) {
            return;
        }
    }
}

bool store::answer(connection& client, const call_info& call)
{
    const auto plan = plan_call(call);
    {
        const std::lock_guard lock{guard};
        ++call_count;
    }
    switch (plan.what) {
    case call_plan::kind::no_answer:
        while (!stopping && !client.ended_by_peer()) {
            sleep_for(milliseconds{20});
        }
        return false;
    case call_plan::kind::reset:
        client.reset();
        return false;
    case call_plan::kind::refuse_503:
        sleep_for(milliseconds{4});
        return client.send(response(503, "{}"));
    case call_plan::kind::done_late:
        std::thread{[this, call, delay = plan.delay] {
            sleep_for(delay);
            int ignored = 200;
            if (!stopping) {
                execute(call, ignored);
            }
        }}.detach();
        while (!stopping && !client.ended_by_peer()) {
            sleep_for(milliseconds{20});
        }
        return false;
    default:
        break;
    }
    sleep_for(plan.delay);
    bool cut = false;
    int status = 200;
    std::string body;
    if (call.is_watch()) {
        body = watch(client, call, plan, cut);
    } else {
        body = execute(call, status);
    }
    if (cut) {
        client.close();
        return false;
    }
    if (plan.what == call_plan::kind::done_without_answer) {
        while (!stopping && !client.ended_by_peer()) {
            sleep_for(milliseconds{20});
        }
        return false;
    }
    return client.send(response(status, body));
}

std::string store::watch(connection& client, const call_info& call, const call_plan& plan, bool& cut)
{
    const auto prefix = query_value(call.query, "path-prefix");
    const auto after = to_number(query_value(call.query, "after"));
    const auto begin = steady::now();
    const auto until = begin + milliseconds{to_number(query_value(call.query, "wait-ms"))};
    json events = json::array();
    std::unique_lock lock{guard};
    while (true) {
        end_leases();
        for (const auto& each : history) {
            if (each.revision <= after || !each.key.starts_with(prefix)) {
                continue;
            }
            if (each.written) {
                events.push_back({{"key", each.key},
                                  {"value", each.written->value},
                                  {"revision", each.revision},
                                  {"created-rev", each.written->created},
                                  {"lease", each.written->lease}});
            } else {
                events.push_back({{"key", each.key}, {"revision", each.revision}, {"deleted", true}});
            }
        }
        const auto now = steady::now();
        if (!events.empty() || now >= until || stopping) {
            return json{{"events", events}, {"as-of", revision}}.dump();
        }
        if (plan.cut_after && now >= begin + *plan.cut_after) {
            cut = true;
            ++cut_count;
            return {};
        }
        if (client.ended_by_peer()) {
            cut = true;
            return {};
        }
        changed.wait_for(lock, milliseconds{10});
    }
}

std::string store::execute(const call_info& call, int& status)
{
    const std::lock_guard lock{guard};
    end_leases();
    if (call.path == "/api/kv-key") {
        const auto key = query_value(call.query, "key");
        const auto found = items.find(key);
        if (found == items.end()) {
            status = 404;
            return "{}";
        }
        const auto& each = found->second;
        return json{{"key", key},
                    {"value", each.value},
                    {"revision", each.revision},
                    {"created-rev", each.created},
                    {"lease", each.lease},
                    {"as-of", revision}}
            .dump();
    }
    if (call.path == "/api/kv-range") {
        const auto prefix = query_value(call.query, "path-prefix");
        const auto after = query_value(call.query, "after");
        json found = json::array();
        for (const auto& [key, each] : items) {
            if (key.starts_with(prefix) && key > after) {
                found.push_back({{"key", key},
                                 {"value", each.value},
                                 {"revision", each.revision},
                                 {"created-rev", each.created},
                                 {"lease", each.lease}});
            }
        }
        return json{{"items", found}, {"has-more", false}, {"as-of", revision}}.dump();
    }
    if (call.path == "/api/kv-txn") {
        return change(call.body, status);
    }
    if (call.path == "/api/kv-lease") {
        const milliseconds length{json::parse(call.body).value("ttl-ms", 10000)};
        leases[++last_lease] = {steady::now() + length, length};
        return json{{"lease", last_lease}, {"ttl-ms", length.count()}}.dump();
    }
    constexpr std::string_view keep = "/api/kv-keep/";
    if (call.path.starts_with(keep)) {
        const auto found = leases.find(to_number(call.path.substr(keep.size())));
        if (found == leases.end()) {
            status = 404;
            return "{}";
        }
        found->second.first = steady::now() + found->second.second;
        return json{{"ttl-ms", found->second.second.count()}}.dump();
    }
    status = 404;
    return "{}";
}

std::string store::change(const std::string& body, int& status)
{
    const auto request = json::parse(body);
    bool holds = true;
    json states = json::array();
    for (const auto& row : request.value("expected-rev", json::array())) {
        const auto key = row.at("key").get<std::string>();
        const auto found = items.find(key);
        const auto present = found == items.end() ? 0 : found->second.revision;
        holds = holds && present == row.at("revision").get<std::uint64_t>();
        if (found != items.end()) {
            states.push_back({{"key", key},
                              {"value", found->second.value},
                              {"revision", present},
                              {"created-rev", found->second.created},
                              {"lease", found->second.lease}});
        }
    }
    if (!holds) {
        status = 412;
        return json{{"items", states}}.dump();
    }
    for (const auto& row : request.value("set-keys", json::array())) {
        const auto lease = row.value("lease", std::uint64_t{0});
        if (lease != 0 && !leases.contains(lease)) {
            status = 404;
            return "{}";
        }
    }
    for (const auto& row : request.value("set-keys", json::array())) {
        set(row.at("key").get<std::string>(),
            row.at("value").get<std::string>(),
            row.value("lease", std::uint64_t{0}));
    }
    for (const auto& key : request.value("remove", json::array())) {
        erase(key.get<std::string>());
    }
    changed.notify_all();
    return json{{"revision", revision}}.dump();
}

} // namespace standin
