#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

namespace hibiscusfall::standins
{

/// @brief What can be wrong with an endpoint.
enum class misbehaviour : std::uint8_t {
    none,
    refuse,               ///< 503 with "X-Request-Run: no".
    close_before_reading, ///< Nothing of the request is read.
    close_after_running,  ///< It runs, but is not answered.
    close_early,          ///< The answer breaks off half-way.
    wrong_length,         ///< The answer is shorter than its head says.
    garbled_chunk,        ///< A chunk's size is no number.
    late_answer,          ///< The answer comes after a delay.
    pause                 ///< An engine's stream pauses half-way and goes on.
};

/// @brief Reads the name that a control order uses, such as "close_early".
[[nodiscard]] inline std::optional<misbehaviour> parse_misbehaviour(std::string_view name)
{
    constexpr std::array<std::string_view, 9> names{"none",
                                                    "refuse",
                                                    "close_before_reading",
                                                    "close_after_running",
                                                    "close_early",
                                                    "wrong_length",
                                                    "garbled_chunk",
                                                    "late_answer",
                                                    "pause"};
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names.at(index) == name) {
            return static_cast<misbehaviour>(index);
        }
    }
    return std::nullopt;
}

/// @brief Which requests are treated how, switched at run time.
class misbehaviour_switch
{
public:
    /// @param count How many requests it is for; below 0 for all that follow.
    /// @param every Only each n-th request is treated so.
    void set(misbehaviour kind, int count, int every, int delay_ms)
    {
        const std::lock_guard lock(this->mutex);
        this->current = kind;
        this->left = count;
        this->spacing = every < 1 ? 1 : every;
        this->delay = delay_ms;
        this->seen = 0;
    }

    /// @brief What is wrong with the next request.
    misbehaviour next()
    {
        return this->next_if([](misbehaviour) { return true; });
    }

    /// @brief Like next, but counts only when the kind now set is of interest.
    template <class condition>
    misbehaviour next_if(condition interesting)
    {
        const std::lock_guard lock(this->mutex);
        if (this->current == misbehaviour::none || !interesting(this->current) || this->left == 0 ||
            ++this->seen % this->spacing != 0) {
            return misbehaviour::none;
        }
        if (this->left > 0) {
            --this->left;
        }
        return this->current;
    }

    [[nodiscard]] int delay_ms() const
    {
        const std::lock_guard lock(this->mutex);
        return this->delay;
    }

private:
    mutable std::mutex mutex;
    misbehaviour current = misbehaviour::none;
    int left = 0;
    int spacing = 1;
    int delay = 0;
    std::uint64_t seen = 0;
};

} // namespace hibiscusfall::standins
