#include "hibiscusfall/relay/event_loop.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace hibiscusfall::relay
{

namespace
{

/// A coroutine that fails at once each time must not keep the loop busy.
constexpr core::duration restart_pause = std::chrono::milliseconds{500};

} // namespace

core::duration time_to_next_tick(core::duration interval, core::instant now) noexcept
{
    const auto since = std::chrono::duration_cast<core::duration>(now.time_since_epoch());
    return interval - since % interval;
}

timing::timer_id event_loop::every(core::duration interval, timing::timer_service::callback call)
{
    const auto start = now();
    const auto id =
        this->timers.every(interval, start + time_to_next_tick(interval, start) - interval, std::move(call));
    this->schedule_timer();
    return id;
}

timing::timer_id event_loop::once(core::duration after, timing::timer_service::callback call)
{
    const auto id = this->timers.once(now() + after, std::move(call));
    this->schedule_timer();
    return id;
}

asio::awaitable<void> event_loop::sleep(core::duration length)
{
    asio::steady_timer timer{this->io, length};
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void event_loop::failure_log::operator()(const std::exception_ptr& failure) const
{
    if (!failure) {
        return;
    }
    ++this->loop->failures;
    telemetry::log_event line{"coroutine_failed"};
    line.with("coroutine", this->coroutine);
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& error) {
        telemetry::write_error(line.with("reason", error.what()));
    } catch (...) {
        telemetry::write_error(line.with("reason", "not a standard exception"));
    }
}

void event_loop::keep_running(std::string_view coroutine, std::function<asio::awaitable<void>()> start)
{
    asio::co_spawn(this->io, this->run_again(coroutine, std::move(start)), this->log_failure(coroutine));
}

asio::awaitable<void> event_loop::run_again(std::string_view coroutine,
                                            std::function<asio::awaitable<void>()> start)
{
    while (true) {
        try {
            auto work = start();
            co_await std::move(work);
            co_return;
        } catch (const std::exception&) {
            this->log_failure(coroutine)(std::current_exception());
        }
        co_await this->sleep(restart_pause);
    }
}

void event_loop::run()
{
    while (true) {
        try {
            this->io.run();
            return;
        } catch (const std::exception& error) {
            ++this->failures;
            telemetry::write_error(telemetry::log_event{"handler_failed"}.with("reason", error.what()));
            // The exception may have come from the wake-up handler before it rescheduled itself.
            this->scheduled_for = core::instant::max();
            this->schedule_timer();
        }
    }
}

void event_loop::schedule_timer()
{
    const auto due = this->timers.next_due();
    if (!due || *due >= this->scheduled_for) {
        return;
    }
    this->scheduled_for = *due;
    this->wakeup_timer.expires_at(*due);
    this->wakeup_timer.async_wait([this](boost::system::error_code error) {
        if (error) {
            return; // cancelled by rescheduling for an earlier time
        }
        this->scheduled_for = core::instant::max();
        this->timers.advance(now());
        this->schedule_timer();
    });
}

} // namespace hibiscusfall::relay
