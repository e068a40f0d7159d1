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

/// @brief Buffers lines until standard output accepts them, and drops lines beyond the limits.
class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit bounded_sink(const log_limits& initial_limits)
        : limits(initial_limits), available_lines(static_cast<double>(initial_limits.burst_lines))
    {
    }

    void write_buffered()
    {
        pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        while (!this->buffer.empty() && ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0) {
            // A pipe that polls as writable accepts at least this much without blocking.
            constexpr std::size_t chunk_bytes = 4096;
            const auto written =
                ::write(STDOUT_FILENO, this->buffer.data(), std::min(chunk_bytes, this->buffer.size()));
            if (written <= 0) {
                return;
            }
            this->buffer.erase(0, static_cast<std::size_t>(written));
        }
    }

    [[nodiscard]] bool try_admit() noexcept
    {
        this->refill();
        const bool room = this->available_lines >= 1 && this->buffer.size() < this->limits.buffer_bytes;
        this->dropped += room ? 0 : 1;
        return room;
    }

    [[nodiscard]] std::size_t dropped_count() const noexcept { return this->dropped; }

    /// @brief Returns how many lines were dropped since the previous call.
    [[nodiscard]] std::size_t take_unreported() noexcept
    {
        const auto unreported = this->dropped - this->reported;
        this->reported = this->dropped;
        return unreported;
    }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        this->refill();
        const bool is_error = message.level >= spdlog::level::err;
        if ((this->available_lines < 1 && !is_error) || this->buffer.size() >= this->limits.buffer_bytes) {
            ++this->dropped;
            return;
        }
        this->available_lines -= 1;
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        this->buffer.append(line.data(), line.size());
    }

    void flush_() override {}

private:
    void refill()
    {
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::duration<double> elapsed = now - this->refilled;
        this->refilled = now;
        this->available_lines = std::min(
            static_cast<double>(this->limits.burst_lines),
            this->available_lines + elapsed.count() * static_cast<double>(this->limits.lines_per_second));
    }

    log_limits limits;
    double available_lines;
    std::chrono::steady_clock::time_point refilled = std::chrono::steady_clock::now();
    std::string buffer;
    std::size_t dropped = 0;
    std::size_t reported = 0;
};

std::shared_ptr<bounded_sink>& sink()
{
    static std::shared_ptr<bounded_sink> instance;
    return instance;
}

} // namespace

void start_bounded_log(std::string_view instance, log_level level, const log_limits& limits)
{
    sink() = std::make_shared<bounded_sink>(limits);
    detail::set_logger(std::make_shared<spdlog::logger>("hibiscusfall", sink()), instance, level);
}

void flush_log()
{
    if (!sink()) {
        return;
    }
    if (const auto dropped = sink()->take_unreported(); dropped > 0) {
        write_error(log_event{"log_lines_left_out"}.with("count", dropped));
    }
    sink()->write_buffered();
}

bool admit_line() noexcept
{
    return !sink() || sink()->try_admit();
}

std::size_t dropped_lines() noexcept
{
    return sink() ? sink()->dropped_count() : 0;
}

} // namespace hibiscusfall::telemetry
