#include "hibiscusfall/telemetry/bounded_log.hpp"

#include "log_target.hpp"

#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace hibiscusfall::telemetry
{

namespace
{

/// @brief Keeps lines until standard output takes them, and leaves out what is over the bounds.
class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit bounded_sink(const log_limits& given)
        : bounds(given), allowance(static_cast<double>(given.burst_lines))
    {
    }

    void write_out()
    {
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        while (!this->kept.empty() && ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0) {
            // A pipe that reports room takes a piece of this size without blocking.
            constexpr std::size_t piece_bytes = 4096;
            const auto written =
                ::write(STDOUT_FILENO, this->kept.data(), std::min(piece_bytes, this->kept.size()));
            if (written <= 0) {
                return;
            }
            this->kept.erase(0, static_cast<std::size_t>(written));
        }
    }

    [[nodiscard]] bool admits() noexcept
    {
        this->refill();
        const bool room = this->allowance >= 1 && this->kept.size() < this->bounds.buffer_bytes;
        this->dropped += room ? 0 : 1;
        return room;
    }

    [[nodiscard]] std::size_t left_out() const noexcept { return this->dropped; }

    /// @brief How many lines were left out since this was asked last.
    [[nodiscard]] std::size_t take_left_out() noexcept
    {
        const auto news = this->dropped - this->told;
        this->told = this->dropped;
        return news;
    }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        this->refill();
        const bool urgent = message.level >= spdlog::level::err;
        if ((this->allowance < 1 && !urgent) || this->kept.size() >= this->bounds.buffer_bytes) {
            ++this->dropped;
            return;
        }
        this->allowance -= 1;
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        this->kept.append(line.data(), line.size());
    }

    void flush_() override {}

private:
    void refill()
    {
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::duration<double> passed = now - this->refilled;
        this->refilled = now;
        this->allowance =
            std::min(static_cast<double>(this->bounds.burst_lines),
                     this->allowance + passed.count() * static_cast<double>(this->bounds.lines_per_second));
    }

    log_limits bounds;
    double allowance;
    std::chrono::steady_clock::time_point refilled = std::chrono::steady_clock::now();
    std::string kept;
    std::size_t dropped = 0;
    std::size_t told = 0;
};

std::shared_ptr<bounded_sink>& sink()
{
    static std::shared_ptr<bounded_sink> instance;
    return instance;
}

} // namespace

void start_bounded_log(std::string_view instance, log_level level, const log_limits& bounds)
{
    sink() = std::make_shared<bounded_sink>(bounds);
    detail::set_logger(std::make_shared<spdlog::logger>("hibiscusfall", sink()), instance, level);
}

void flush_log()
{
    if (!sink()) {
        return;
    }
    if (const auto dropped = sink()->take_left_out(); dropped > 0) {
        write_error(log_event{"log_lines_left_out"}.with("count", dropped));
    }
    sink()->write_out();
}

bool admit_line() noexcept
{
    return !sink() || sink()->admits();
}

std::size_t dropped_lines() noexcept
{
    return sink() ? sink()->left_out() : 0;
}

} // namespace hibiscusfall::telemetry
