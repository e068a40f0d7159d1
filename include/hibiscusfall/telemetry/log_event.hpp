#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace hibiscusfall::telemetry
{

/// @brief Builder for a log line: an event name followed by key=value pairs in the order added.
///
/// @code
/// write(log_event{"slot_granted"}.with("team", "huts").with("wait_us", 1200));
/// // event=slot_granted team=huts wait_us=1200
/// @endcode
class log_event
{
public:
    explicit log_event(std::string_view name);

    /// @name Adding pairs
    /// @brief Adds a pair. Empty values and values with spaces, quotes, '=', backslashes or control
    /// characters are quoted and escaped.
    log_event& with(std::string_view key, std::string_view value);
    log_event& with(std::string_view key, const char* value)
    {
        return this->with(key, std::string_view{value});
    }
    log_event& with(std::string_view key, bool value);
    log_event& with(std::string_view key, double value);

    template <std::integral integer>
    log_event& with(std::string_view key, integer value)
    {
        return this->with(key, std::string_view{std::to_string(value)});
    }

    /// @name Access
    [[nodiscard]] const std::string& line() const noexcept { return this->text; }

private:
    std::string text;
};

/// @brief Log verbosity: errors only, events, or every decision.
enum class log_level : unsigned char { error, event, decision };

/// @brief Sends the log to standard error, with the instance's name in every line.
void start_log(std::string_view instance, log_level level);

/// @brief Logs an event.
void write(const log_event& event);

/// @brief Logs a routing or placement decision.
void write_decision(const log_event& event);

/// @brief Logs an error that needs the attention of an operator.
void write_error(const log_event& event);

/// @brief Whether decisions are logged; lets callers skip formatting them.
[[nodiscard]] bool logs_decisions() noexcept;

} // namespace hibiscusfall::telemetry
