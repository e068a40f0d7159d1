#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/timing/timer_service.hpp"

#include <cstdint>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hibiscusfall::relay
{

namespace asio = boost::asio;

/// @brief Time until the next multiple of an interval on the steady clock: timers of equal or multiple
/// intervals that begin there are due together, so that the process wakes up once for them.
[[nodiscard]] core::duration until_next(core::duration interval, core::instant now) noexcept;

/// @brief The one event loop of an entry process, with the timer service that its parts subscribe to.
class event_loop
{
public:
    [[nodiscard]] asio::io_context& context() noexcept { return this->io; }
    [[nodiscard]] static core::instant now() noexcept { return std::chrono::steady_clock::now(); }

    /// @name Timers
    timing::subscription every(core::duration interval, timing::timer_service::callback call);
    timing::subscription once(core::duration after, timing::timer_service::callback call);

    /// @brief Waits inside a coroutine.
    asio::awaitable<void> sleep(core::duration length);

    /// @name Running
    /// @brief Runs until it is stopped. What a handler throws is logged and ends that handler alone.
    void run();
    void stop() { this->io.stop(); }

    /// @brief Handlers that ended with an exception.
    [[nodiscard]] std::uint64_t handler_failures() const noexcept { return this->failures; }

private:
    void arm();

    asio::io_context io{1};
    timing::timer_service timers;
    asio::steady_timer alarm{this->io};
    core::instant armed_for = core::instant::max();
    std::uint64_t failures = 0;
};

} // namespace hibiscusfall::relay
