#include "hibiscusfall/telemetry/log_event.hpp"

#include "log_target.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <cstdio>
#include <memory>

namespace hibiscusfall::telemetry
{

namespace
{

std::shared_ptr<spdlog::logger>& logger()
{
    static std::shared_ptr<spdlog::logger> instance;
    return instance;
}

bool needs_quotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char character : value) {
        if (static_cast<unsigned char>(character) <= ' ' || character == '"' || character == '=' ||
            character == '\\') {
            return true;
        }
    }
    return false;
}

void append_quoted(std::string& text, std::string_view value)
{
    text += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
            text += character;
        } else if (static_cast<unsigned char>(character) < ' ') {
            text += ' ';
        } else {
            text += character;
        }
    }
    text += '"';
}

} // namespace

log_event::log_event(std::string_view name) : text("event=")
{
    this->text += name;
}

log_event& log_event::with(std::string_view key, std::string_view value)
{
    this->text += ' ';
    this->text += key;
    this->text += '=';
    if (needs_quotes(value)) {
        append_quoted(this->text, value);
    } else {
        this->text += value;
    }
    return *this;
}

log_event& log_event::with(std::string_view key, bool value)
{
    return this->with(key, value ? std::string_view{"true"} : std::string_view{"false"});
}

log_event& log_event::with(std::string_view key, double value)
{
    std::array<char, 32> digits{};
    const int length = std::snprintf(digits.data(), digits.size(), "%.6g", value);
    return this->with(key, std::string_view{digits.data(), static_cast<std::size_t>(length)});
}

void detail::set_logger(std::shared_ptr<spdlog::logger> target, std::string_view instance, log_level level)
{
    target->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l instance=" + std::string{instance} + " %v",
                        spdlog::pattern_time_type::utc);
    target->set_level(level == log_level::error      ? spdlog::level::err
                      : level == log_level::decision ? spdlog::level::debug
                                                     : spdlog::level::info);
    target->flush_on(spdlog::level::info);
    logger() = std::move(target);
}

void start_log(std::string_view instance, log_level level)
{
    constexpr std::size_t queued_lines = 16384;
    spdlog::init_thread_pool(queued_lines, 1);
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    auto target = std::make_shared<spdlog::async_logger>(
        "hibiscusfall", sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    detail::set_logger(std::move(target), instance, level);
}

void write(const log_event& event)
{
    if (logger()) {
        logger()->info("{}", event.line());
    }
}

void write_decision(const log_event& event)
{
    if (logger()) {
        logger()->debug("{}", event.line());
    }
}

void write_error(const log_event& event)
{
    if (logger()) {
        logger()->error("{}", event.line());
    }
}

bool logs_decisions() noexcept
{
    return logger() && logger()->should_log(spdlog::level::debug);
}

} // namespace hibiscusfall::telemetry
