#include "hibiscusfall/relay/event_loop.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace hibiscusfall::relay
{

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
