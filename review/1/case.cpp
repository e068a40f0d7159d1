/// @file
/// @brief The operator takes a key away, and it is the last one that the configuration holds.

#include "caller.hpp"
#include "fleet.hpp"
#include "heartbeat.hpp"

#include <nlohmann/json.hpp>

#include <filesystem>
#include <iostream>
#include <memory>
#include <set>

using namespace hibiscusfall;
using namespace hibiscusfall::review;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr auto config_apply = 2000ms; // config-apply-ms of the sheet
constexpr auto contact = 3000ms;      // contact-ms of the sheet
constexpr int requests_each = 10;

json configuration(int version, const std::vector<std::string>& keys)
{
    const auto route = [](const char* name, const char* prefix, const char* kind) {
        return json{{"name", name},
                    {"hostname", "rolls.example"},
                    {"path-prefix", prefix},
                    {"kind", kind},
                    {"timeout-ms", 1500},
                    {"goal-ms", 100},
                    {"priority", 1},
                    {"service", "roll-desk"},
                    {"max-attempts", 1},
                    {"anonymous", false}};
    };
    return {{"version", version},
            {"routes", {route("roll-print", "/print/", "unsafe"), route("roll-view", "/view/", "safe")}},
            {"services", {{{"name", "roll-desk"}, {"health-path", "/health"}, {"max-conns", 110}}}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 4194304},
              {"header-timeout-ms", 5000},
              {"idle-timeout-ms", 15000}}},
            {"tenants", {{{"name", "estate"}, {"api-keys", keys}}}}};
}

struct sent_request {
    std::string id;
    std::string key_kind; ///< Which key it had.
    int status = 0;
};

class scenario
{
public:
    scenario(record& out, const std::vector<std::unique_ptr<machine>>& targets)
        : lines(out), machines(targets)
    {
    }

    /// Sends requests with a key to each machine, to both routes. An empty key sends no header.
    std::vector<sent_request> send(const std::string& phase, const std::string& kind, const std::string& key)
    {
        std::vector<sent_request> sent;
        for (const auto& target : this->machines) {
            for (int i = 0; i < requests_each; ++i) {
                sent_request each{.id = phase + "-" + kind + "-" + std::to_string(++this->number),
                                  .key_kind = kind};
                const bool print = i % 2 == 0;
                caller client{target->ip(), target->caller_port()};
                if (client.connect()) {
                    client.send(std::string{print ? "POST /print/roll" : "GET /view/roll"} +
                                " HTTP/1.1\r\nHost: rolls.example\r\nConnection: close\r\n"
                                "X-Hibiscusfall-Deadline-Ms: 1500\r\nX-Hibiscusfall-Request-Id: " +
                                each.id + "\r\n" +
                                (key.empty() ? "" : "X-Hibiscusfall-Credential: " + key + "\r\n") +
                                (print ? "Content-Length: 4\r\n\r\nroll" : "\r\n"));
                    const auto limit = clock::now() + 2s;
                    if (client.read_head(limit)) {
                        client.read_body(limit);
                        each.status = client.status;
                    }
                }
                this->lines.line("sent " + each.id + " to " + target->name() + " answered " +
                                 std::to_string(each.status) + " " + client.body.substr(0, 80));
                sent.push_back(each);
            }
        }
        return sent;
    }

private:
    record& lines;
    const std::vector<std::unique_ptr<machine>>& machines;
    int number = 0;
};

int count_status(const std::vector<sent_request>& sent, int status)
{
    return static_cast<int>(
        std::count_if(sent.begin(), sent.end(), [=](const auto& each) { return each.status == status; }));
}

int play(const std::string& root, const std::string& folder, const std::string& files, bool trouble)
{
    record lines{folder + "/record.txt"};
    lines.line(std::string{"the last key is taken away: "} + (trouble ? "yes" : "no"));
    testing::platform_store store;
    const address_block addresses;
    run_log runs;
    const worker::work answer = [](worker& self, const http_request& request, const worker::writer& write) {
        std::this_thread::sleep_for(15ms);
        return write(self.response(request, "the rolls of all labourers\n"));
    };
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<worker*> writers;
    for (int i = 1; i <= 2; ++i) {
        workers.push_back(
            std::make_unique<worker>(worker_options{.id = "w" + std::to_string(i),
                                                    .service = "roll-desk",
                                                    .ip = addresses.ip(100 + i),
                                                    .zone = i == 1 ? "mu-north-a" : "mu-north-b"},
                                     runs,
                                     answer));
        workers.back()->start();
        writers.push_back(workers.back().get());
        store.put("servers/" + workers.back()->options.id, workers.back()->entry());
    }
    store.put("op/config", configuration(1, {"estatekey1"}).dump());
    const heartbeat beats{store, writers};
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<machine*> all;
    for (const auto& values :
         deployment(addresses, {"mu-north-a", "mu-north-b"}, core::to_string(store.address()))) {
        machines.push_back(std::make_unique<machine>(root, files, values));
        machines.back()->start();
        all.push_back(machines.back().get());
    }
    if (!wait_until_ready(all, 15000)) {
        lines.line("the machines did not become ready");
        return could_not_run;
    }
    std::this_thread::sleep_for(contact + 1s); // all machines are in touch
    scenario clients{lines, machines};
    const int per_kind = requests_each * static_cast<int>(machines.size());
    const auto good = clients.send("before", "held", "estatekey1");
    const auto unknown = clients.send("before", "never-held", "strangerkey");
    const auto none = clients.send("before", "none", "");
    if (count_status(good, 200) != per_kind || count_status(unknown, 401) != per_kind ||
        count_status(none, 401) != per_kind) {
        lines.line("keys are not told apart before the change");
        return could_not_run;
    }
    store.put("op/config",
              configuration(2, trouble ? std::vector<std::string>{} : std::vector<std::string>{"estatekey1"})
                  .dump());
    lines.line("the store acknowledged version 2");
    std::this_thread::sleep_for(config_apply + contact);
    clients.send("after", "taken-away", "estatekey1");
    clients.send("after", "never-held", "strangerkey");
    clients.send("after", "none", "");
    // A later version that holds another key shows that the machines follow the store.
    store.put("op/config", configuration(3, {"estatekey3"}).dump());
    lines.line("the store acknowledged version 3");
    std::this_thread::sleep_for(config_apply + contact);
    const auto replaced = clients.send("later", "replaced", "estatekey1");
    const auto newest = clients.send("later", "newest", "estatekey3");
    int taken_away = 0;
    int never_held = 0;
    int without = 0;
    for (const auto& each : runs.all()) {
        lines.line("run " + each.id + " at " + each.worker + " tenant '" + each.tenant + "'");
        taken_away += each.id.starts_with("after-taken-away") ? 1 : 0;
        never_held += each.id.starts_with("after-never-held") ? 1 : 0;
        without += each.id.starts_with("after-none") ? 1 : 0;
    }
    const auto summary = "runs after version 2 of " + std::to_string(per_kind) +
                         " each: with the key of version 1 " + std::to_string(taken_away) +
                         ", with a key that was never held " + std::to_string(never_held) +
                         ", without a key " + std::to_string(without) + "; after version 3: old key 401 " +
                         std::to_string(count_status(replaced, 401)) + ", new key 200 " +
                         std::to_string(count_status(newest, 200));
    lines.line(summary);
    std::cout << summary << '\n';
    const bool old_key_allowed = !trouble;
    const bool broken = never_held > 0 || without > 0 || (taken_away > 0 && !old_key_allowed);
    return broken ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 5) {
        std::cerr << "use: case ROOT FOLDER TEMPORARY-FOLDER TROUBLE\n";
        return could_not_run;
    }
    try {
        return play(arguments[1], arguments[2], arguments[3], std::string{arguments[4]} != "0");
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return could_not_run;
    }
}
