#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace hibiscusfall::timing
{

/// @brief Identifies a timer of a timer service.
enum class timer_id : std::uint64_t {};

/// @brief Runs callbacks at their due times. Reads no clock: its owner passes the current time.
/// @remarks Not thread-safe; used by the control thread only.
///
/// @code
/// timer_service timers;
/// timers.every(100ms, now, [](core::instant at) { send_heartbeat(at); });
/// timers.advance(std::chrono::steady_clock::now());
/// @endcode
class timer_service
{
public:
    using callback = std::function<void(core::instant now)>;

    /// @name Adding and cancelling timers
    /// @brief Adds a periodic timer that first fires one interval after @p now. Missed periods are skipped.
    timer_id every(core::duration interval, core::instant now, callback call);

    /// @brief Adds a timer that fires once, at or after @p due.
    timer_id once(core::instant due, callback call);

    /// @brief Cancels a timer; does nothing if it no longer exists.
    void cancel(timer_id which);

    /// @name Advancing time
    /// @brief Runs the callbacks that are due at @p now, in order of due time.
    void advance(core::instant now);

    /// @brief The earliest due time; nullopt if there are no timers.
    [[nodiscard]] std::optional<core::instant> next_due() const;

private:
    struct entry {
        timer_id id{};
        core::duration interval{};
        callback call;
    };

    timer_id add(core::instant due, core::duration interval, callback call);

    std::uint64_t last_id = 0;
    std::multimap<core::instant, entry> entries;
};

} // namespace hibiscusfall::timing
