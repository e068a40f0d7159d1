/// @file
/// @brief The store comes back from a copy that is some seconds old, and all entries are killed. Those that
/// start take the restored versions and workers for complete, and continue streams of a version that joined
/// since at another one.

#include "../standins-2/streams.hpp"

namespace
{

using namespace rig;

constexpr long joined_before_ms = 4000; ///< From the copy, and the new version's workers, to the restoration.
constexpr long away_ms = 1000;
constexpr long heartbeat_ms = 1200;
constexpr std::size_t streams_count = 120;

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    started();
    record log{arguments[1]};
    const folder temporary;
    store platform;
    platform.put("op/config", stream_configuration());
    std::vector<std::unique_ptr<stream_worker>> workers;
    const auto add = [&](int number, const char* version) {
        workers.push_back(std::make_unique<stream_worker>(
            "i-" + std::to_string(number) + "-" + version, "zone-a", version, 200, log));
        platform.put("servers/" + workers.back()->id, workers.back()->entry());
    };
    for (int i = 0; i < 3; ++i) {
        add(i, "v1");
    }
    const std::vector<std::string> hosts{"127.0.0.11", "127.0.0.12", "127.0.0.13"};
    const auto at = free_ports(hosts);
    std::vector<std::unique_ptr<entry>> fronts;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        fronts.push_back(std::make_unique<entry>(
            temporary, "front-" + std::to_string(i + 1), "zone-a", hosts[i], at, platform.address(), hosts));
    }
    await_ready(fronts);
    sleep_ms(3000);
    platform.take_copy();
    log.line("the store's copy is taken");
    for (int i = 3; i < 6; ++i) {
        add(i, "v2");
    }
    const long restored_at = now_ms() + joined_before_ms;
    // Each worker writes its entry about every heartbeat, as far as the store takes it.
    std::atomic<bool> done{false};
    std::atomic<bool> away{false};
    std::vector<std::thread> heartbeats;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        heartbeats.emplace_back([&, i] {
            // Those of the new version come 1 s after the store's return, within the two seconds of the
            // pages.
            const long phase_ms = i < 3 ? 300 : 1000;
            sleep_until(restored_at - joined_before_ms + (joined_before_ms + phase_ms) % heartbeat_ms);
            while (!done) {
                if (!away) {
                    platform.put("servers/" + workers[i]->id, workers[i]->entry());
                }
                sleep_ms(heartbeat_ms);
            }
        });
    }
    sleep_ms(700);
    std::vector<std::unique_ptr<stream>> streams;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < streams_count; ++i) {
        streams.push_back(std::make_unique<stream>());
        clients.emplace_back([&, i, of = streams.back().get()] {
            const long began = now_ms();
            of->first_id = hex_id(100 * i + 1);
            // Taken up once, on a new connection.
            if (attempt(*fronts[i % 3], of->first_id, *of, log, began) && !of->events.empty()) {
                sleep_ms(500);
                of->taken_up = true;
                attempt(*fronts[(i + 1) % 3], hex_id(100 * i + 2), *of, log, began);
            }
        });
        sleep_ms(10);
    }
    sleep_until(restored_at - away_ms);
    if (trouble()) {
        log.line("trouble: the store is away");
        away = true;
        platform.set_away(true);
    }
    sleep_until(restored_at);
    if (trouble()) {
        log.line("trouble: all entries are killed; the store comes back from its copy");
        for (auto& each : fronts) {
            each->kill(SIGKILL);
        }
        platform.restore();
        platform.set_away(false);
        away = false;
        for (auto& each : fronts) {
            each->start();
        }
    }
    for (auto& each : clients) {
        each.join();
    }
    done = true;
    for (auto& each : heartbeats) {
        each.join();
    }
    int joined = 0;
    int complete = 0;
    int taken_up = 0;
    for (const auto& each : streams) {
        complete += each->complete ? 1 : 0;
        taken_up += each->taken_up ? 1 : 0;
        if (each->versions().size() > 1) {
            ++joined;
            log.line("broken: stream " + each->first_id + " holds events of v1 and of v2");
        }
    }
    // "More than two streams hold events from workers of two software versions of one service."
    log.line("streams " + std::to_string(streams.size()) + ", complete " + std::to_string(complete) +
             ", taken up " + std::to_string(taken_up) + ", with events of two versions " +
             std::to_string(joined) + " (allowed 2)");
    log.flush();
    return joined > 2 ? 1 : 0;
}
