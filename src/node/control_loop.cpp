#include "hibiscusfall/node/control_loop.hpp"

#include <ctime>

namespace hibiscusfall::node
{

namespace
{

constexpr core::duration longest_sleep = std::chrono::milliseconds{100};

} // namespace

control_loop::~control_loop()
{
    this->stop();
}

void control_loop::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void control_loop::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_one();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void control_loop::post(task work)
{
    {
        const std::lock_guard lock(this->mutex);
        this->tasks.push_back(std::move(work));
    }
    this->wake.notify_one();
}

void control_loop::after_each_turn(std::function<void(core::instant now)> call)
{
    this->turn_ends.push_back(std::move(call));
}

double control_loop::processor_seconds()
{
    return this->ask([] {
        timespec used{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        constexpr double nanoseconds_per_second = 1e9;
        return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / nanoseconds_per_second;
    });
}

std::deque<control_loop::task> control_loop::wait_for_tasks()
{
    auto until = std::chrono::steady_clock::now() + longest_sleep;
    if (const auto due = this->timer_queue.next_due(); due && *due < until) {
        until = *due;
    }
    std::unique_lock lock(this->mutex);
    this->wake.wait_until(lock, until, [this] { return this->stopping || !this->tasks.empty(); });
    return std::exchange(this->tasks, {});
}

void control_loop::run()
{
    while (true) {
        const auto batch = this->wait_for_tasks();
        for (const auto& work : batch) {
            work(std::chrono::steady_clock::now());
        }
        const auto now = std::chrono::steady_clock::now();
        this->timer_queue.advance(now);
        for (const auto& call : this->turn_ends) {
            call(now);
        }
        const std::lock_guard lock(this->mutex);
        if (this->stopping && this->tasks.empty()) {
            return;
        }
    }
}

} // namespace hibiscusfall::node
