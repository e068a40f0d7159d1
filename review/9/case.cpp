/// @file
/// @brief An entry that is cut off from the store begins streams whose software version no other entry can
/// learn. When it ends, none of them goes on, although workers of their version serve.

#include "../standins-2/streams.hpp"

namespace
{

using namespace rig;

constexpr long cut_ms = 5000;
constexpr std::size_t streams_per_front = 30;
constexpr int streams_per_s = 8; ///< At each entry.

} // namespace

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    started();
    const char* cut_given = std::getenv("CUT");
    const bool cut = trouble() && (cut_given == nullptr || std::string_view{cut_given} != "0");
    record log{arguments[1]};
    const folder temporary;
    store platform;
    platform.put("op/config", stream_configuration());
    std::vector<std::unique_ptr<stream_worker>> workers;
    for (int i = 0; i < 6; ++i) {
        const auto* version = i < 3 ? "v1" : "v2";
        workers.push_back(std::make_unique<stream_worker>(
            "i-" + std::to_string(i) + "-" + version, "zone-a", version, 200, log));
        platform.announce("servers/" + workers.back()->id, workers.back()->entry());
    }
    const std::vector<std::string> hosts{"127.0.0.11", "127.0.0.12", "127.0.0.13"};
    const auto at = free_ports(hosts);
    std::vector<std::unique_ptr<entry>> fronts;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        fronts.push_back(std::make_unique<entry>(temporary,
                                                 "front-" + std::to_string(i + 1),
                                                 "zone-a",
                                                 hosts[i],
                                                 at,
                                                 i == 0 ? platform.second_address() : platform.address(),
                                                 hosts));
    }
    await_ready(fronts);
    sleep_ms(4000);
    const long from = now_ms();
    if (cut) {
        log.line("trouble: " + fronts[0]->id() + " is cut off from the store");
        platform.cut_second(true);
    }
    std::vector<std::unique_ptr<stream>> streams;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < 3 * streams_per_front; ++i) {
        streams.push_back(std::make_unique<stream>());
        clients.emplace_back([&, i, of = streams.back().get()] {
            const long began = now_ms();
            of->first_id = hex_id(2 * i + 1);
            if (attempt(*fronts[i % 3], of->first_id, *of, log, began) && !of->events.empty()) {
                sleep_ms(100);
                of->taken_up = true;
                attempt(*fronts[1 + i % 2], hex_id(2 * i + 2), *of, log, began);
            }
        });
        sleep_until(from + 500 + static_cast<long>(i) * 1000 / (3 * streams_per_s));
    }
    sleep_until(from + cut_ms);
    if (trouble()) {
        log.line("trouble: " + fronts[0]->id() + " is killed and started again");
        fronts[0]->kill(SIGKILL);
        platform.cut_second(false);
        fronts[0]->start();
    }
    for (auto& each : clients) {
        each.join();
    }
    std::size_t begun = 0;
    std::size_t elsewhere = 0;
    std::size_t taken_up = 0;
    std::size_t went_on = 0;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        elsewhere += i % 3 != 0 ? 1 : 0;
        begun += i % 3 != 0 && !streams[i]->events.empty() ? 1 : 0;
        taken_up += streams[i]->taken_up ? 1 : 0;
        went_on += streams[i]->went_on ? 1 : 0;
    }
    // "Of 12 or more streams that clients take up again at machines in touch, while two workers of their
    // software version serve, the share that goes on is under half of the share of new streams that begin."
    const auto share = [](std::size_t part, std::size_t whole) {
        return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
    };
    const bool broken = taken_up >= 12 && share(went_on, taken_up) < share(begun, elsewhere) / 2;
    log.line("new streams at the other entries " + std::to_string(elsewhere) + ", begun " +
             std::to_string(begun) + "; taken up " + std::to_string(taken_up) + ", went on " +
             std::to_string(went_on));
    log.flush();
    return broken ? 1 : 0;
}
