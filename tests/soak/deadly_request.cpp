#include "deadly_request.hpp"

#include <random>
#include <thread>

namespace hibiscusfall::soak
{

using namespace std::chrono_literals;

void call_with(soak_fleet& fleet,
               ledger& records,
               const deadly_request& request,
               std::uint64_t seed,
               const std::atomic<bool>& stop)
{
    constexpr auto time_left = 1500ms;
    std::mt19937_64 random{seed};
    while (!stop) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20 + random() % 150});
        auto& entry = *fleet.entries[random() % fleet.entries.size()];
        kept_connection connection{entry.callers};
        const auto started = now_ms();
        if (!connection.open()) {
            continue;
        }
        const auto id = "d" + std::to_string(random());
        constexpr bool deadly = true;
        records.note_sent(id, request.kind, request.team, entry.name, deadly);
        auto seen = connection.exchange(write_request(request.target,
                                                      request.kind,
                                                      id,
                                                      "key-" + request.team,
                                                      static_cast<int>(time_left.count()),
                                                      request.target),
                                        time_left);
        const bool excused =
            now_ms() - started >= time_left.count() - 50 || entry.stopping || entry.disturbed_since(started);
        records.note_end(id, std::move(seen), excused);
    }
}

} // namespace hibiscusfall::soak
