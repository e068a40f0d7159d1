/// @file
/// @brief Leases run out while the store is down. Later a machine is lost, and its clients take their streams
/// up at another one.

#include "heartbeat.hpp"
#include "streams.hpp"

#include <iostream>
#include <memory>

using namespace hibiscusfall;
using namespace hibiscusfall::review;
using namespace std::chrono_literals;

namespace
{

constexpr int streams = 40;
constexpr auto deadline_after = 15s;
constexpr auto outage = 3s;      // platform_down: 5 s on the pages, 4.5 s in the sheet
constexpr auto contact = 3000ms; // contact-ms of the sheet
constexpr int new_streams = 40;
constexpr int min_taken_up = 12; // LOST: of 12 or more streams

int play(const std::string& root,
         const std::string& folder,
         const std::string& files,
         const std::string& trouble)
{
    record lines{folder + "/record.txt"};
    lines.line("trouble: " + trouble);
    testing::platform_store store;
    const address_block addresses;
    run_log runs;
    const auto work = stream_work({.events = 130, .interval = 100ms});
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<worker*> writers;
    // Two workers of each software version.
    for (int i = 1; i <= 4; ++i) {
        workers.push_back(
            std::make_unique<worker>(worker_options{.id = "w" + std::to_string(i),
                                                    .service = "hib-draft",
                                                    .ip = addresses.ip(100 + i),
                                                    .zone = i % 2 == 1 ? "mu-north-a" : "mu-north-b",
                                                    .version = i <= 2 ? "1.0" : "2.0",
                                                    .slots = 64,
                                                    .queue = 128},
                                     runs,
                                     work));
        workers.back()->start();
        writers.push_back(workers.back().get());
        store.put("servers/" + workers.back()->options.id, workers.back()->entry());
    }
    store.put("op/config", stream_configuration().dump());
    heartbeat beats{store, writers};
    std::vector<std::unique_ptr<machine>> machines;
    std::vector<machine*> all;
    for (const auto& values : deployment(
             addresses, {"mu-north-a", "mu-north-b", "mu-north-b"}, core::to_string(store.address()))) {
        machines.push_back(std::make_unique<machine>(root, files, values));
        machines.back()->start();
        all.push_back(machines.back().get());
    }
    if (!wait_until_ready(all, 15000)) {
        lines.line("the machines did not become ready");
        return could_not_run;
    }
    std::this_thread::sleep_for(4s);
    std::vector<std::unique_ptr<stream_client>> clients;
    std::vector<std::thread> threads;
    const auto begin = clock::now();
    std::atomic<int> take_ups{0};
    for (unsigned i = 0; i < streams; ++i) {
        clients.push_back(std::make_unique<stream_client>("s" + std::to_string(i), lines));
        threads.emplace_back([&, i] {
            std::this_thread::sleep_until(begin + i * 10ms);
            const auto deadline = clock::now() + deadline_after;
            const auto finished = clients[i]->attempt(*all[0], deadline);
            if (finished == stream_client::end::complete || clients[i]->last_event == 0) {
                return;
            }
            std::this_thread::sleep_for(200ms);
            ++take_ups;
            clients[i]->attempt(*all[1 + i % 2], deadline);
        });
    }
    std::this_thread::sleep_until(begin + 1500ms);
    lines.line("keys of streams in the store: " + std::to_string(store.keys("streams/").size()));
    if (trouble == "1") {
        beats.set_store_up(false);
        store.set_fault(testing::platform_store::fault::unavailable);
        lines.line("the store is down: it answers 503");
        std::this_thread::sleep_for(outage / 2);
        store.expire_leases();
        lines.line("the leases have run out");
        std::this_thread::sleep_for(outage / 2);
        store.set_fault(testing::platform_store::fault::none);
        beats.set_store_up(true);
        lines.line("the store is back");
    } else {
        std::this_thread::sleep_for(outage);
    }
    std::this_thread::sleep_for(contact + 1s); // the store is stable, all machines are in touch
    lines.line("keys of streams in the store: " + std::to_string(store.keys("streams/").size()));
    if (trouble != "0") {
        machines[0]->kill();
        lines.line(machines[0]->name() + " was killed");
    }
    // New streams begin at the same machines at the same time.
    std::vector<std::unique_ptr<stream_client>> others;
    for (unsigned i = 0; i < new_streams; ++i) {
        others.push_back(std::make_unique<stream_client>("new" + std::to_string(i), lines));
        threads.emplace_back([&, i] {
            std::this_thread::sleep_for(i * 10ms);
            others[i]->attempt(*all[1 + i % 2], clock::now() + 3s);
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    int went_on = 0;
    int joined = 0;
    for (const auto& each : clients) {
        went_on += each->went_on ? 1 : 0;
        joined += each->versions.size() > 1 ? 1 : 0;
    }
    int begun = 0;
    for (const auto& each : others) {
        begun += each->last_event > 0 ? 1 : 0;
    }
    const auto summary = "streams taken up " + std::to_string(take_ups) + ", gone on " +
                         std::to_string(went_on) + "; new streams " + std::to_string(new_streams) +
                         ", begun " + std::to_string(begun) + "; streams with events of two versions " +
                         std::to_string(joined);
    lines.line(summary);
    std::cout << summary << '\n';
    if (trouble != "0" && take_ups < min_taken_up) {
        return could_not_run;
    }
    const double share_on = take_ups == 0 ? 1.0 : static_cast<double>(went_on) / take_ups;
    const double share_new = static_cast<double>(begun) / new_streams;
    return take_ups >= min_taken_up && share_on < share_new / 2 ? rule_broken : rule_held;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 5) {
        std::cerr << "use: case ROOT FOLDER TEMPORARY-FOLDER TROUBLE\n";
        return could_not_run;
    }
    try {
        return play(arguments[1], arguments[2], arguments[3], arguments[4]);
    } catch (const std::exception& problem) {
        std::cerr << problem.what() << '\n';
        return could_not_run;
    }
}
