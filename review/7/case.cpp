/// @file
/// @brief Origins of streams are written without a condition: a write whose answer was lost is done late,
/// over a newer origin of the same stream. Another instance then continues the stream at the wrong software
/// version.

#include "../standins-2/streams.hpp"

#include <random>

namespace
{

using namespace rig;

constexpr long trouble_ms = 4500;                    ///< Twice for so long, writes are lost.
constexpr long pause_ms = 1000;                      ///< Between the two.
constexpr long begin_ms = 2 * trouble_ms + pause_ms; ///< Streams begin for so long.
constexpr int streams_per_s = 48;
constexpr double lost_share = 0.35; ///< Of the writes.
constexpr double late_share = 0.45; ///< Of the requests whose first token comes late, in calm too.
constexpr long late_ms = 1200;
constexpr int most_rounds = 3;

bool draw(double share)
{
    static std::mutex mutex;
    static std::mt19937 generator{std::random_device{}()};
    const std::lock_guard lock(mutex);
    return std::uniform_real_distribution<double>{0, 1}(generator) < share;
}

/// A write is done and not answered, 1.5 or 2.5 s later.
store::fate lose_some(const json& /*change*/)
{
    return draw(lost_share) ? store::fate{.answered = false, .done_after_ms = draw(0.5) ? 1500 : 2500}
                            : store::fate{};
}

using entries = std::vector<std::unique_ptr<entry>>;

/// @returns The number of streams that hold events of two versions.
int play_round(store& platform, entries& fronts, record& log, std::size_t first_id)
{
    const long from = now_ms();
    std::thread disruption{[&] {
        for (int turn = 0; turn < 2 && trouble(); ++turn) {
            sleep_until(from + turn * (trouble_ms + pause_ms));
            log.line("trouble: for " + std::to_string(trouble_ms) +
                     " ms the store does some writes late without an answer");
            platform.set_judge(lose_some);
            sleep_ms(trouble_ms);
            platform.set_judge({});
        }
    }};
    std::vector<std::unique_ptr<stream>> streams;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; now_ms() < from + begin_ms; ++i) {
        streams.push_back(std::make_unique<stream>());
        clients.emplace_back([&, i, of = streams.back().get()] {
            const long began = now_ms();
            of->first_id = hex_id(first_id + 2 * i);
            if (attempt(*fronts[i % 3], of->first_id, *of, log, began) && !of->events.empty()) {
                sleep_ms(100);
                of->taken_up = true;
                attempt(*fronts[(i + 1) % 3], hex_id(first_id + 2 * i + 1), *of, log, began);
            }
        });
        sleep_until(from + static_cast<long>(i + 1) * 1000 / streams_per_s);
    }
    disruption.join();
    sleep_until(from + begin_ms + 3000); // all late writes are done
    for (const std::size_t each : {0U, 2U, 1U}) {
        if (trouble()) {
            log.line("trouble: " + fronts[each]->id() + " is killed and started again");
            fronts[each]->kill(SIGKILL);
            sleep_ms(500);
            fronts[each]->start();
            sleep_ms(1000);
        }
    }
    for (auto& each : clients) {
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
    log.line("streams " + std::to_string(streams.size()) + ", complete " + std::to_string(complete) +
             ", taken up " + std::to_string(taken_up) + ", with events of two versions " +
             std::to_string(joined) + " (allowed 2)");
    return joined;
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
    std::vector<std::unique_ptr<stream_worker>> workers;
    for (int i = 0; i < 6; ++i) {
        const auto* version = i < 3 ? "v1" : "v2";
        workers.push_back(std::make_unique<stream_worker>(
            "i-" + std::to_string(i) + "-" + version, "zone-a", version, 700, log, [] {
                return draw(late_share) ? late_ms : 0L;
            }));
        platform.announce("servers/" + workers.back()->id, workers.back()->entry());
    }
    const std::vector<std::string> hosts{"127.0.0.11", "127.0.0.12", "127.0.0.13"};
    const auto at = free_ports(hosts);
    entries fronts;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        fronts.push_back(std::make_unique<entry>(
            temporary, "front-" + std::to_string(i + 1), "zone-a", hosts[i], at, platform.address(), hosts));
    }
    await_ready(fronts);
    sleep_ms(2500);
    platform.on_write = [&log](const json& change, bool late) {
        for (const auto& each : change.at("set-keys")) {
            log.line("store: " + each.at("key").get<std::string>() + " = " +
                     from_base64(each.at("value").get<std::string>()) +
                     (late ? " (done late, not answered)" : ""));
        }
    };
    // "More than two streams hold events from workers of two software versions of one service." What is lost
    // is drawn, so that up to three rounds are made.
    int joined = 0;
    for (int round = 0; round < (trouble() ? most_rounds : 1) && joined <= 2; ++round) {
        joined += play_round(platform, fronts, log, 1 + static_cast<std::size_t>(round) * 10000);
        await_ready(fronts);
    }
    log.line("streams with events of two versions " + std::to_string(joined) + " (allowed 2)");
    log.flush();
    return joined > 2 ? 1 : 0;
}
