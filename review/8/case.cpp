/// @file
/// @brief Workers crash and start again under the ids that they had, with another software version. Until
/// their new entries are read, the entries continue streams there that began at the version before.

#include "../standins-2/streams.hpp"

namespace
{

using namespace rig;

constexpr long down_ms = 2500;  ///< The workers of a zone are down for so long.
constexpr long between_ms = 30; ///< From their return to the crash of the other zone's workers.
constexpr std::size_t streams_count = 60;

using workers = std::vector<std::unique_ptr<stream_worker>>;

void for_zone(workers& all, std::size_t first, const std::function<void(stream_worker&)>& call)
{
    std::vector<std::thread> threads;
    for (std::size_t i = first; i < first + 3; ++i) {
        threads.emplace_back([&, i] { call(*all[i]); });
    }
    for (auto& each : threads) {
        each.join();
    }
}

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    started();
    record log{arguments[1]};
    const folder temporary;
    store platform;
    platform.put("op/config", stream_configuration());
    workers all;
    for (int i = 0; i < 6; ++i) {
        all.push_back(std::make_unique<stream_worker>(
            "i-" + std::to_string(i), i < 3 ? "zone-a" : "zone-b", "v1", 200, log));
        platform.put("servers/" + all.back()->id, all.back()->entry());
    }
    const std::vector<std::string> hosts{"127.0.0.11", "127.0.0.12", "127.0.0.13"};
    const auto at = free_ports(hosts);
    std::vector<std::unique_ptr<entry>> entries;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        entries.push_back(std::make_unique<entry>(temporary,
                                                  "front-" + std::to_string(i + 1),
                                                  i == 0 ? "zone-a" : "zone-b",
                                                  hosts[i],
                                                  at,
                                                  platform.address(),
                                                  hosts));
    }
    await_ready(entries);
    sleep_ms(2000);
    std::vector<std::unique_ptr<stream>> streams;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < streams_count; ++i) {
        streams.push_back(std::make_unique<stream>());
        clients.emplace_back([&, i, of = streams.back().get()] {
            const long began = now_ms();
            of->first_id = hex_id(2 * i + 1);
            if (attempt(*entries[i % 3], of->first_id, *of, log, began) && !of->events.empty()) {
                sleep_ms(100);
                of->taken_up = true;
                attempt(*entries[(i + 1) % 3], hex_id(2 * i + 2), *of, log, began);
            }
        });
        sleep_ms(30);
    }
    if (trouble()) {
        for_zone(all, 0, [](stream_worker& each) { each.crash(); });
        sleep_ms(down_ms);
        for_zone(all, 0, [&](stream_worker& each) { each.start_again("v2", platform); });
        sleep_ms(between_ms);
        for_zone(all, 3, [](stream_worker& each) { each.crash(); });
        sleep_ms(down_ms);
        for_zone(all, 3, [&](stream_worker& each) { each.start_again("v2", platform); });
    }
    for (auto& each : clients) {
        each.join();
    }
    int joined = 0;
    int complete = 0;
    for (const auto& each : streams) {
        complete += each->complete ? 1 : 0;
        if (each->versions().size() > 1) {
            ++joined;
            log.line("broken: stream " + each->first_id + " holds events of v1 and of v2");
        }
    }
    // "More than two streams hold events from workers of two software versions of one service."
    log.line("streams " + std::to_string(streams.size()) + ", complete " + std::to_string(complete) +
             ", with events of two versions " + std::to_string(joined) + " (allowed 2)");
    log.flush();
    return joined > 2 ? 1 : 0;
}
