#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace hibiscusfall::review
{

using clock = std::chrono::steady_clock;
using instant = clock::time_point;

/// @brief Exit codes of a case.
inline constexpr int rule_held = 0;
inline constexpr int rule_broken = 1;
inline constexpr int could_not_run = 2;

/// @brief Writes the record of a case: one line for each event, with the milliseconds since its start.
class record
{
public:
    explicit record(const std::string& path) : file(path) {}

    void line(const std::string& text)
    {
        const std::lock_guard lock(this->mutex);
        this->file << this->milliseconds(clock::now()) << ' ' << text << '\n' << std::flush;
    }

    [[nodiscard]] long milliseconds(instant at) const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(at - this->started).count();
    }

private:
    std::mutex mutex;
    std::ofstream file;
    instant started = clock::now();
};

} // namespace hibiscusfall::review
