#pragma once

#include "worker.hpp"

#include "platform_store.hpp"

#include <atomic>
#include <thread>
#include <vector>

namespace hibiscusfall::review
{

/// @brief Keeps the entries of the workers that are up in the store, as each worker writes its own.
class heartbeat
{
public:
    heartbeat(testing::platform_store& target, std::vector<worker*> writers)
        : store(target), workers(std::move(writers)), thread([this] { this->run(); })
    {
    }
    ~heartbeat()
    {
        this->stopping = true;
        this->thread.join();
    }
    heartbeat(const heartbeat&) = delete;
    heartbeat& operator=(const heartbeat&) = delete;

    /// @brief Whether the workers reach the store.
    void set_store_up(bool value) { this->store_up = value; }

private:
    void run()
    {
        constexpr auto interval = std::chrono::milliseconds{1200}; // heartbeat-ms
        auto next = clock::now() + interval;
        bool was_up = true;
        while (!this->stopping) {
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
            const bool is_up = this->store_up;
            const bool back = is_up && !was_up; // entries are written again soon after the store's return
            was_up = is_up;
            if (!is_up || (clock::now() < next && !back)) {
                continue;
            }
            next = clock::now() + interval;
            for (auto* each : this->workers) {
                if (each->is_up()) {
                    this->store.put("servers/" + each->options.id, each->entry());
                }
            }
        }
    }

    testing::platform_store& store;
    std::vector<worker*> workers;
    std::atomic<bool> store_up{true};
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace hibiscusfall::review
