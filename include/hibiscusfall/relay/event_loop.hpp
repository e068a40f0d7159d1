#pragma once

#include "hibiscusfall/core/instant.hpp"
#include "hibiscusfall/timing/timer_service.hpp"

#include <cstdint>
#include <exception>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hibiscusfall::relay
{

namespace asio = boost::asio;

/// @brief Time until the next multiple of an interval on the steady clock.
/// @remarks Timers aligned to these multiples expire together, so that one wake-up of the process serves all
/// of them.
[[nodiscard]] core::duration time_to_next_tick(core::duration interval, core::instant now) noexcept;

/// @brief The single event loop of a relay process, with its timer service.
class event_loop
{
public:
    [[nodiscard]] asio::io_context& context() noexcept { return this->io; }
    [[nodiscard]] static core::instant now() noexcept { return std::chrono::steady_clock::now(); }

    /// @name Timers
    timing::timer_id every(core::duration interval, timing::timer_service::callback call);
    timing::timer_id once(core::duration after, timing::timer_service::callback call);

    /// @brief Suspends the calling coroutine for a time.
    asio::awaitable<void> sleep(core::duration length);

    /// @name Coroutines

    /// Completion handler of a coroutine: logs the exception that left it. @c asio::detached would drop it.
    struct failure_log {
        event_loop* loop = nullptr;
        std::string_view coroutine;

        void operator()(const std::exception_ptr& failure) const;
    };

    /// @param coroutine Its name in the log, a literal.
    /// @code
    /// asio::co_spawn(loop.context(), session->run(), loop.log_failure("session"));
    /// @endcode
    [[nodiscard]] failure_log log_failure(std::string_view coroutine) noexcept
    {
        return {.loop = this, .coroutine = coroutine};
    }

    /// @brief Starts a coroutine, and starts it again after a pause whenever an exception has left it.
    /// @param start Called for each start; no more once the coroutine has returned.
    void keep_running(std::string_view coroutine, std::function<asio::awaitable<void>()> start);

    /// @name Running
    /// @brief Runs until stopped. An exception from a handler is logged and ends only that handler.
    void run();
    void stop() { this->io.stop(); }

    /// @brief Number of handlers and coroutines that ended with an exception.
    [[nodiscard]] std::uint64_t handler_failures() const noexcept { return this->failures; }

private:
    void schedule_timer();
    asio::awaitable<void> run_again(std::string_view coroutine, std::function<asio::awaitable<void>()> start);

    asio::io_context io{1};
    timing::timer_service timers;
    asio::steady_timer wakeup_timer{this->io};
    core::instant scheduled_for = core::instant::max();
    std::uint64_t failures = 0;
};

} // namespace hibiscusfall::relay
