#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace hibiscusfall::node::detail
{

/// @brief One thread for calls that block. Jobs run one after the other.
class job_thread
{
public:
    using job = std::function<void()>;

    job_thread() = default;
    ~job_thread() { this->stop(); }
    job_thread(const job_thread&) = delete;
    job_thread& operator=(const job_thread&) = delete;

    void start()
    {
        this->thread = std::thread([this] { this->run(); });
    }

    /// @brief Drops the jobs that wait, and ends when the running one has ended.
    void stop()
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

    void post(job work)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->jobs.push_back(std::move(work));
        }
        this->wake.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(this->mutex);
        while (true) {
            this->wake.wait(lock, [this] { return this->stopping || !this->jobs.empty(); });
            if (this->stopping) {
                return;
            }
            const auto work = std::move(this->jobs.front());
            this->jobs.pop_front();
            lock.unlock();
            work();
            lock.lock();
        }
    }

    std::mutex mutex;
    std::condition_variable wake;
    std::deque<job> jobs;
    bool stopping = false;
    std::thread thread;
};

} // namespace hibiscusfall::node::detail
