/// @file
/// @brief A key is replaced, and a machine that reads the store stands still right after it.

#include "caller.hpp"
#include "fleet.hpp"
#include "heartbeat.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <memory>
#include <random>

using namespace hibiscusfall;
using namespace hibiscusfall::review;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr auto config_apply = 2000ms; // config-apply-ms of the sheet
constexpr auto freeze_time = 3200ms;  // node_freeze has for_s 5 if nothing else is said
constexpr auto contact = 3000ms;      // contact-ms of the sheet
constexpr auto back_time = 1500ms;    // after it, the machine reads the store again
constexpr int max_changes = 20;
/// The machine stands still at a random moment within this time after the store has told it of the change.
constexpr double reaction_ms = 26;
constexpr int clients_each = 3; // usual clients of a machine

json configuration(int version, const std::string& key)
{
    return {{"version", version},
            {"routes",
             {{{"name", "roll-view"},
               {"hostname", "rolls.example"},
               {"path-prefix", "/view/"},
               {"kind", "safe"},
               {"timeout-ms", 1000},
               {"goal-ms", 100},
               {"priority", 1},
               {"service", "roll-desk"},
               {"max-attempts", 2},
               {"anonymous", false}},
              {{"name", "notice"},
               {"hostname", "rolls.example"},
               {"path-prefix", "/notice/"},
               {"kind", "safe"},
               {"timeout-ms", 1000},
               {"goal-ms", 100},
               {"priority", 1},
               {"service", "roll-desk"},
               {"max-attempts", 2},
               {"anonymous", true}}}},
            {"services", {{{"name", "roll-desk"}, {"health-path", "/health"}, {"max-conns", 110}}}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 4194304},
              {"header-timeout-ms", 5000},
              {"idle-timeout-ms", 15000}}},
            {"tenants", {{{"name", "estate"}, {"api-keys", {key}}}}}};
}

/// Whether the machine reads the store itself, by its log; the first choice is to read.
bool reads_store(const machine& of)
{
    const auto log = of.log();
    const std::string name = "event=store_reader reads=";
    const auto last = log.rfind(name);
    return last == std::string::npos || log.compare(last + name.size(), 4, "true") == 0;
}

/// Sends one request on a new connection. @returns Its status, or 0.
int ask(const machine& target, const std::string& path, const std::string& id, const std::string& key)
{
    caller client{target.ip(), target.caller_port()};
    const auto limit = clock::now() + 1s;
    if (!client.connect() ||
        !client.send("GET " + path +
                     " HTTP/1.1\r\nHost: rolls.example\r\nConnection: close\r\nX-Hibiscusfall-Deadline-Ms: "
                     "1000\r\nX-Hibiscusfall-Request-Id: " +
                     id + "\r\n" + (key.empty() ? "" : "X-Hibiscusfall-Credential: " + key + "\r\n") +
                     "\r\n") ||
        !client.read_head(limit)) {
        return 0;
    }
    client.read_body(limit);
    return client.status;
}

/// How long the stand-in of the store takes to tell a watch of a change, in ms: the median of some watches on
/// a connection that is kept as those of the machines are.
double notice_time(testing::platform_store& store)
{
    constexpr int warm_up = 30; // a fresh connection acknowledges at once, a kept one after some 40 ms
    constexpr int measured = 9;
    const auto address = store.address();
    caller watch{address.host, address.port};
    watch.connect();
    std::uint64_t revision = 0;
    std::vector<double> times;
    for (int i = 0; i < warm_up + measured; ++i) {
        const auto limit = clock::now() + 2s;
        const auto call = [&](int wait_ms) {
            return watch.send("GET /api/kv-watch?path-prefix=probe/&after=" + std::to_string(revision) +
                              "&wait-ms=" + std::to_string(wait_ms) + " HTTP/1.1\r\nHost: store\r\n\r\n");
        };
        call(1000);
        std::this_thread::sleep_for(10ms);
        store.put("probe/x", std::to_string(i));
        const auto changed = clock::now();
        if (!watch.read_head(limit) || !watch.read_body(limit)) {
            return 0;
        }
        if (i >= warm_up) {
            times.push_back(std::chrono::duration<double, std::milli>(clock::now() - changed).count());
        }
        revision = json::parse(watch.body).at("as-of").get<std::uint64_t>();
    }
    std::sort(times.begin(), times.end());
    return times[times.size() / 2];
}

/// What the requests of one change met, sent later than config-apply-ms after its acknowledgement.
struct late_requests {
    int sent = 0;
    int old_key_served = 0;
    int new_key_refused = 0;
};

late_requests check(const std::vector<machine*>& calm, int version, instant acknowledged, record& lines)
{
    late_requests seen;
    std::this_thread::sleep_until(acknowledged + config_apply + 50ms);
    for (int round = 0; clock::now() < acknowledged + freeze_time - 100ms; ++round) {
        for (const auto* each : calm) {
            const auto id = std::to_string(version) + "-" + std::to_string(round) + "-" + each->name();
            const auto at = clock::now();
            const int old_key = ask(*each, "/view/roll", "old-" + id, "key" + std::to_string(version - 1));
            const int new_key = ask(*each, "/view/roll", "new-" + id, "key" + std::to_string(version));
            seen.sent += 2;
            seen.old_key_served += old_key == 200 ? 1 : 0;
            seen.new_key_refused += new_key == 401 ? 1 : 0;
            if (old_key == 200 || new_key == 401) {
                lines.line(each->name() + " " +
                           std::to_string(lines.milliseconds(at) - lines.milliseconds(acknowledged)) +
                           " ms after the acknowledgement of version " + std::to_string(version) +
                           ": the key that was taken away gets " + std::to_string(old_key) +
                           ", the new one " + std::to_string(new_key));
            }
        }
        std::this_thread::sleep_for(100ms);
    }
    return seen;
}

int play(const std::string& root, const std::string& folder, const std::string& files, bool trouble)
{
    record lines{folder + "/record.txt"};
    lines.line(std::string{"a machine stands still: "} + (trouble ? "yes" : "no"));
    testing::platform_store store;
    const address_block addresses;
    run_log runs;
    const worker::work answer = [](worker& self, const http_request& request, const worker::writer& write) {
        thread_local std::minstd_rand random{std::random_device{}()};
        std::this_thread::sleep_for(std::chrono::milliseconds{5 + random() % 40});
        return write(self.response(request, "roll\n"));
    };
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<worker*> writers;
    for (int i = 1; i <= 4; ++i) {
        workers.push_back(
            std::make_unique<worker>(worker_options{.id = "w" + std::to_string(i),
                                                    .service = "roll-desk",
                                                    .ip = addresses.ip(100 + i),
                                                    .zone = std::string{"mu-north-"} + "abcd"[i - 1],
                                                    .slots = 12},
                                     runs,
                                     answer));
        workers.back()->start();
        writers.push_back(workers.back().get());
        store.put("servers/" + workers.back()->options.id, workers.back()->entry());
    }
    int version = 1;
    store.put("op/config", configuration(version, "key1").dump());
    const heartbeat beats{store, writers};
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<machine*> all;
    const std::vector<std::string> zones{"mu-north-a",
                                         "mu-north-a",
                                         "mu-north-a",
                                         "mu-north-b",
                                         "mu-north-b",
                                         "mu-north-c",
                                         "mu-north-c",
                                         "mu-north-d",
                                         "mu-north-d"};
    for (const auto& values : deployment(addresses, zones, core::to_string(store.address()))) {
        machines.push_back(std::make_unique<machine>(root, files, values));
        machines.back()->start();
        all.push_back(machines.back().get());
    }
    if (!wait_until_ready(all, 15000)) {
        lines.line("the machines did not become ready");
        return could_not_run;
    }
    std::atomic<bool> stopping{false};
    std::vector<std::thread> traffic;
    for (int number = 0; number < clients_each * static_cast<int>(all.size()); ++number) {
        traffic.emplace_back([&, number] {
            const auto& target = *all[static_cast<std::size_t>(number) % all.size()];
            for (int i = 0; !stopping; ++i) {
                ask(target, "/notice/today", "t-" + std::to_string(number) + "-" + std::to_string(i), {});
                std::this_thread::sleep_for(20ms);
            }
        });
    }
    std::this_thread::sleep_for(contact);
    // The machine to stand still: one that reads the store, in the zone with the most machines.
    machine* frozen = nullptr;
    for (auto* each : all) {
        const bool reads = reads_store(*each);
        lines.line(each->name() + (reads ? " reads the store" : " does not read the store"));
        frozen = reads && frozen == nullptr ? each : frozen;
    }
    std::vector<machine*> calm;
    std::copy_if(
        all.begin(), all.end(), std::back_inserter(calm), [&](auto* each) { return each != frozen; });
    const double notice_ms = notice_time(store);
    lines.line("the store tells of a change after " + std::to_string(notice_ms) + " ms");
    std::minstd_rand random{std::random_device{}()};
    late_requests total;
    int changes = 0;
    int broken_changes = 0;
    while (frozen != nullptr && changes < max_changes && broken_changes == 0) {
        ++changes;
        ++version;
        const double after_ms = notice_ms + std::uniform_real_distribution<double>{0, reaction_ms}(random);
        store.put("op/config", configuration(version, "key" + std::to_string(version)).dump());
        const auto acknowledged = clock::now();
        lines.line("the store acknowledged version " + std::to_string(version));
        if (trouble) {
            std::this_thread::sleep_until(acknowledged +
                                          std::chrono::duration_cast<clock::duration>(
                                              std::chrono::duration<double, std::milli>{after_ms}));
            frozen->signal(SIGSTOP);
            lines.line(frozen->name() + " stands still");
        }
        const auto seen = check(calm, version, acknowledged, lines);
        total.sent += seen.sent;
        total.old_key_served += seen.old_key_served;
        total.new_key_refused += seen.new_key_refused;
        broken_changes += seen.old_key_served + seen.new_key_refused > 0 ? 1 : 0;
        std::this_thread::sleep_until(acknowledged + freeze_time);
        frozen->signal(SIGCONT);
        std::this_thread::sleep_for(back_time);
    }
    stopping = true;
    for (auto& each : traffic) {
        each.join();
    }
    for (const auto* each : calm) {
        const auto log = each->log();
        for (auto at = log.find("event=catalog_from_peer"); at != std::string::npos;
             at = log.find("event=catalog_from_peer", at + 1)) {
            const auto line = log.substr(at, log.find('\n', at) - at);
            if (line.find("outcome=failed") != std::string::npos) {
                lines.line(each->name() + " logged: " + line);
            }
        }
    }
    const auto summary = "changes " + std::to_string(changes) + ", of which not in force in time " +
                         std::to_string(broken_changes) + "; requests later than config-apply-ms " +
                         std::to_string(total.sent) + ", served with the key that was taken away " +
                         std::to_string(total.old_key_served) + ", new key refused with 401 " +
                         std::to_string(total.new_key_refused);
    lines.line(summary);
    std::cout << summary << '\n';
    return frozen == nullptr ? could_not_run : broken_changes > 0 ? rule_broken : rule_held;
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
