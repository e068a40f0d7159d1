#include "hibiscusfall/protocol/replay_window.hpp"

#include <algorithm>

namespace hibiscusfall::protocol
{

namespace
{

void advance_to(replay_window& window, std::uint64_t sequence)
{
    const auto steps = std::min<std::uint64_t>(sequence - window.newest, replay_window::width);
    for (std::uint64_t step = 1; step <= steps; ++step) {
        window.seen.reset((sequence - steps + step) % replay_window::width);
    }
    window.newest = sequence;
}

} // namespace

bool replay_window::accept(std::uint64_t sender_incarnation, std::uint64_t sequence)
{
    if (sender_incarnation < this->incarnation) {
        return false;
    }
    if (sender_incarnation > this->incarnation) {
        *this = replay_window{.incarnation = sender_incarnation, .newest = 0, .seen = {}};
    }
    if (sequence > this->newest) {
        advance_to(*this, sequence);
    } else if (this->newest - sequence >= width || this->seen.test(sequence % width)) {
        return false;
    }
    this->seen.set(sequence % width);
    return true;
}

} // namespace hibiscusfall::protocol
