#include "standins/parts/engine.hpp"

#include <algorithm>
#include <thread>

namespace hibiscusfall::standins
{

double load_factor(int running, int batch) noexcept
{
    constexpr double cost_of_full_batch = 0.25;
    const double load = static_cast<double>(running) / batch;
    return load <= 1 ? 1 + cost_of_full_batch * load : (1 + cost_of_full_batch) * load;
}

void engine::begin(const std::string& request_id)
{
    const std::lock_guard lock(this->mutex);
    ++this->running_now;
    this->cancelled[request_id] = false;
    this->note_load();
}

void engine::end(const std::string& request_id)
{
    const std::lock_guard lock(this->mutex);
    --this->running_now;
    this->cancelled.erase(request_id);
    this->note_load();
}

void engine::cancel(const std::string& request_id)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->cancelled.find(request_id);
    if (found != this->cancelled.end()) {
        found->second = true;
    }
}

bool engine::is_cancelled(const std::string& request_id) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->cancelled.find(request_id);
    return found != this->cancelled.end() && found->second;
}

std::chrono::microseconds engine::scaled(int milliseconds, double straggler) const
{
    constexpr double microseconds = 1000;
    const std::lock_guard lock(this->mutex);
    const double factor =
        straggler * this->slowdown * load_factor(this->running_now, std::max(this->options.batch, 1));
    return std::chrono::microseconds{static_cast<std::int64_t>(milliseconds * microseconds * factor)};
}

std::chrono::microseconds engine::first_token(double straggler) const
{
    return this->scaled(this->options.first_token_ms, straggler);
}

std::chrono::microseconds engine::between_tokens(double straggler) const
{
    return this->scaled(this->options.between_tokens_ms, straggler);
}

int engine::running() const
{
    const std::lock_guard lock(this->mutex);
    return this->running_now;
}

int engine::reported_running() const
{
    const std::lock_guard lock(this->mutex);
    const auto at = clock::now() - std::chrono::milliseconds{this->options.load_lag_ms};
    int result = 0;
    for (const auto& [time, load] : this->loads) {
        if (time > at) {
            break;
        }
        result = load;
    }
    return result;
}

void engine::note_load()
{
    const auto now = clock::now();
    const auto oldest = now - std::chrono::milliseconds{this->options.load_lag_ms};
    this->loads.emplace_back(now, this->running_now);
    // The last entry before the lag is the one that is reported.
    while (this->loads.size() > 1 && this->loads[1].first <= oldest) {
        this->loads.pop_front();
    }
}

void engine::set_slowdown(double factor)
{
    const std::lock_guard lock(this->mutex);
    this->slowdown = factor;
}

received_order engine::take_order(const std::string& order, const std::string& subject, std::uint64_t fencing)
{
    received_order taken{.order = order, .subject = subject, .fencing = fencing};
    {
        const std::lock_guard lock(this->mutex);
        taken.accepted = !this->options.checks_fencing || fencing >= this->highest_fencing;
        this->highest_fencing = std::max(this->highest_fencing, fencing);
        taken.unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
        this->order_list.push_back(taken);
    }
    if (taken.accepted && order == "load") {
        std::this_thread::sleep_for(std::chrono::milliseconds{this->options.load_model_ms});
    }
    const std::lock_guard lock(this->mutex);
    if (taken.accepted && order == "load") {
        this->loaded.insert(subject);
    } else if (taken.accepted && order == "unload") {
        this->loaded.erase(subject);
    } else if (taken.accepted && order == "role") {
        this->taken_role = subject;
    }
    return taken;
}

std::vector<received_order> engine::orders() const
{
    const std::lock_guard lock(this->mutex);
    return this->order_list;
}

std::string engine::role() const
{
    const std::lock_guard lock(this->mutex);
    return this->taken_role;
}

std::set<std::string> engine::models() const
{
    const std::lock_guard lock(this->mutex);
    return this->loaded;
}

} // namespace hibiscusfall::standins
