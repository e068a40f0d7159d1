// Stand-in for the platform: its key-value service by the published JSON gateway, and its instance list.
#include "standins/parts/http_server.hpp"
#include "standins/parts/key_value_store.hpp"
#include "standins/parts/store_json.hpp"

#include <CLI/CLI.hpp>

#include <deque>
#include <iostream>
#include <map>
#include <thread>

namespace
{

using namespace hibiscusfall::standins;
using nlohmann::json;
using steady = std::chrono::steady_clock;

constexpr auto lease_check_interval = std::chrono::milliseconds{50};
constexpr auto watch_step = std::chrono::milliseconds{100};

/// What is wrong with the store, switched at run time.
struct store_faults {
    bool outage = false;
    int delay_ms = 0;
    int lost_answers = 0; ///< Writes that take effect but are not answered; below 0 for all.
    int lose_every = 1;   ///< Only each n-th write is treated so.
    int writes_seen = 0;
    std::uint64_t watch_generation = 0; ///< Watches of an older generation are cut.
    std::uint64_t compactions = 0;      ///< Watches begun before the newest one are cancelled.
};

/// A list as it became true at a time.
struct dated_list {
    steady::time_point since;
    json list;
};

struct store_standin {
    key_value_store store;
    std::mutex mutex;
    store_faults faults;
    std::map<std::string, std::uint64_t> counts;
    std::deque<dated_list> instance_lists;
    std::chrono::milliseconds instance_lag{};
};

store_faults current_faults(store_standin& self)
{
    const std::lock_guard lock(self.mutex);
    return self.faults;
}

std::string kind_of(std::string_view path)
{
    if (path.find("/lease/") != std::string_view::npos) {
        return "lease";
    }
    return std::string{path.substr(path.rfind('/') + 1)};
}

void count(store_standin& self, std::string_view path)
{
    const std::lock_guard lock(self.mutex);
    ++self.counts[kind_of(path)];
    ++self.counts["total"];
}

bool loses_answer(store_standin& self, std::string_view path)
{
    if (path == "/v3/kv/range") {
        return false;
    }
    const std::lock_guard lock(self.mutex);
    auto& faults = self.faults;
    if (faults.lost_answers == 0 || ++faults.writes_seen % faults.lose_every != 0) {
        return false;
    }
    if (faults.lost_answers > 0) {
        --faults.lost_answers;
    }
    ++self.counts["lost_answers"];
    return true;
}

/// A cancelled watch stays connected and is told nothing more, as at the published service.
void hold_cancelled(store_standin& self, connection& client)
{
    while (!client.peer_closed() && !current_faults(self).outage) {
        std::this_thread::sleep_for(watch_step);
    }
}

void watch(store_standin& self, connection& client, const json& body)
{
    const auto& wanted = body.at("create_request");
    const auto keys = read_key_range(wanted);
    const auto begun = current_faults(self);
    auto next = read_number(wanted, "start_revision", 0);
    if (next == 0) {
        next = self.store.revision() + 1;
    }
    if (!client.begin_chunks("application/json") ||
        !client.write_chunk(write_watch_created(self.store.revision()))) {
        return;
    }
    while (!client.peer_closed()) {
        auto batch = self.store.wait_for(keys, next, watch_step);
        const auto faults = current_faults(self);
        if (faults.outage || faults.watch_generation != begun.watch_generation) {
            return;
        }
        if (faults.compactions != begun.compactions) {
            batch = {.revision = batch.revision, .compacted = batch.revision, .events = {}};
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{faults.delay_ms});
        if ((!batch.events.empty() || batch.compacted > 0) && !client.write_chunk(write_watch_line(batch))) {
            return;
        }
        if (batch.compacted > 0) {
            hold_cancelled(self, client);
            return;
        }
        next = std::max(next, batch.revision + 1);
    }
}

bool serve_store(store_standin& self, connection& client, std::string_view path, const json& body)
{
    count(self, path);
    std::this_thread::sleep_for(std::chrono::milliseconds{current_faults(self).delay_ms});
    try {
        if (path == "/v3/watch") {
            watch(self, client, body);
            return false;
        }
        const auto answer = answer_store_call(self.store, path, body);
        if (!answer) {
            return client.reply(404, R"({"error":"not found"})");
        }
        return !loses_answer(self, path) && client.reply(200, answer->dump());
    } catch (const std::exception& error) {
        return client.reply(400, json{{"error", error.what()}}.dump());
    }
}

void set_faults(store_faults& faults, const json& order)
{
    faults.outage = order.value("outage", faults.outage);
    faults.delay_ms = order.value("delay_ms", faults.delay_ms);
    if (order.contains("lose_answers")) {
        faults.lost_answers = order["lose_answers"].get<int>();
        faults.lose_every = std::max(1, order.value("lose_every", 1));
        faults.writes_seen = 0;
    }
    if (order.value("cut_watches", false)) {
        ++faults.watch_generation;
    }
    if (order.value("compact_watches", false)) {
        ++faults.compactions;
    }
}

bool control(store_standin& self, connection& client, const json& order)
{
    if (!order.is_object()) {
        return client.reply(400, R"({"error":"the body is no JSON object"})");
    }
    {
        const std::lock_guard lock(self.mutex);
        set_faults(self.faults, order);
        if (order.contains("instances")) {
            self.instance_lists.push_back({.since = steady::now(), .list = order["instances"]});
        }
        if (order.contains("instances_lag_ms")) {
            self.instance_lag = std::chrono::milliseconds{order["instances_lag_ms"].get<int>()};
        }
        if (order.value("reset_counts", false)) {
            self.counts.clear();
        }
    }
    if (order.value("compact", false)) {
        self.store.compact();
    }
    if (order.contains("skip_events")) {
        self.store.skip_events(order["skip_events"].get<int>());
    }
    return client.reply(200, R"({"done":true})");
}

json instances(store_standin& self)
{
    const std::lock_guard lock(self.mutex);
    const auto at = steady::now() - self.instance_lag;
    json result = json::array();
    for (const auto& dated : self.instance_lists) {
        if (dated.since <= at) {
            result = dated.list;
        }
    }
    return result;
}

json counts(store_standin& self)
{
    const std::lock_guard lock(self.mutex);
    return self.counts;
}

bool handle(store_standin& self, connection& client, const http_request& request)
{
    const std::string_view path{request.target().data(), request.target().size()};
    const auto body = json::parse(request.body(), nullptr, false);
    if (path.starts_with("/v3/")) {
        return serve_store(self, client, path, body);
    }
    if (path == "/control") {
        return control(self, client, body);
    }
    if (path == "/counts") {
        return client.reply(200, counts(self).dump());
    }
    if (path == "/instances") {
        return client.reply(200, instances(self).dump());
    }
    return client.reply(404, R"({"error":"not found"})");
}

bool may_read(store_standin& self, connection& client)
{
    // Orders to the stand-in, and the instance list, are answered during an outage, too.
    return !client.peek().starts_with("POST /v3/") || !current_faults(self).outage;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for the platform's key-value service and its list of instances"};
    http_server_options server;
    app.add_option("--host", server.host, "address to listen on");
    app.add_option("--port", server.port, "port to listen on")->required();
    CLI11_PARSE(app, argc, argv);

    store_standin self;
    server.before_reading = [&self](connection& client) { return may_read(self, client); };
    server.handle = [&self](connection& client, const http_request& request) {
        return handle(self, client, request);
    };
    std::thread([&self] {
        while (true) {
            std::this_thread::sleep_for(lease_check_interval);
            self.store.expire_leases();
        }
    }).detach();
    std::cerr << "standin_store: " << serve_http(server) << '\n';
    return EXIT_FAILURE;
}
