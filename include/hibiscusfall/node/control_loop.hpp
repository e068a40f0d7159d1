#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/timing/timer_service.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

namespace hibiscusfall::node
{

/// @brief The one thread that owns all control state. Other threads post tasks to it.
///
/// @code
/// control_loop loop;
/// loop.start();
/// const auto live = loop.ask([&] { return live_members(members); });
/// @endcode
class control_loop
{
public:
    using task = std::function<void(core::instant now)>;

    control_loop() = default;
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// @name Life
    void start();

    /// @brief Runs what was posted before, then ends the thread.
    void stop();

    /// @name From any thread
    /// @brief Runs a task on the control thread, soon.
    void post(task work);

    /// @brief Runs a function on the control thread and waits for its result.
    /// @remarks Never call it on the control thread.
    template <class function>
    auto ask(function question) -> decltype(question())
    {
        std::promise<decltype(question())> promise;
        auto answer = promise.get_future();
        this->post([&promise, &question](core::instant /*now*/) {
            if constexpr (std::is_void_v<decltype(question())>) {
                question();
                promise.set_value();
            } else {
                promise.set_value(question());
            }
        });
        return answer.get();
    }

    /// @brief The processor time that the control thread has used, in seconds.
    [[nodiscard]] double processor_seconds();

    /// @name On the control thread, or before start
    [[nodiscard]] timing::timer_service& timers() noexcept { return this->timer_queue; }

    /// @brief Calls back after each batch of tasks and timers, to send what they put together.
    void after_each_turn(std::function<void(core::instant now)> call);

private:
    void run();
    std::deque<task> wait_for_tasks();

    timing::timer_service timer_queue;
    std::vector<std::function<void(core::instant)>> turn_ends;
    std::mutex mutex;
    std::condition_variable wake;
    std::deque<task> tasks;
    bool stopping = false;
    std::thread thread;
};

} // namespace hibiscusfall::node
