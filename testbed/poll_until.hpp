#pragma once

#include <chrono>
#include <thread>

namespace hibiscusfall::testbed
{

/// @brief Asks again and again until a condition holds.
/// @returns Whether it held within the limit.
template <class condition>
[[nodiscard]] bool poll_until(condition holds,
                              std::chrono::milliseconds limit = std::chrono::seconds{20},
                              std::chrono::milliseconds interval = std::chrono::milliseconds{20})
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(interval);
    }
    return true;
}

} // namespace hibiscusfall::testbed
