#include "hibiscusfall/relay/event_loop.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace hibiscusfall::relay
{

core::duration until_next(core::duration interval, core::instant now) noexcept
{
    const auto since = std::chrono::duration_cast<core::duration>(now.time_since_epoch());
    return interval - since % interval;
}

timing::subscription event_loop::every(core::duration interval, timing::timer_service::callback call)
{
    const auto start = now();
    const auto id =
        this->timers.every(interval, start + until_next(interval, start) - interval, std::move(call));
    this->arm();
    return id;
}

timing::subscription event_loop::once(core::duration after, timing::timer_service::callback call)
{
    const auto id = this->timers.once(now() + after, std::move(call));
    this->arm();
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
            // The alarm may have been lost with the handler; the timers go on.
            this->armed_for = core::instant::max();
            this->arm();
        }
    }
}

void event_loop::arm()
{
    const auto due = this->timers.next_due();
    if (!due || *due >= this->armed_for) {
        return;
    }
    this->armed_for = *due;
    this->alarm.expires_at(*due);
    this->alarm.async_wait([this](boost::system::error_code error) {
        if (error) {
            return; // armed again for an earlier time
        }
        this->armed_for = core::instant::max();
        this->timers.advance(now());
        this->arm();
    });
}

} // namespace hibiscusfall::relay
