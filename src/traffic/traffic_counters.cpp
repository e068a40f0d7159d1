#include "hibiscusfall/traffic/traffic_counters.hpp"

namespace hibiscusfall::traffic
{

void traffic_counters::count_outcome(const core::verdict& outcome)
{
    const auto state = static_cast<std::size_t>(outcome.state);
    const auto reason = static_cast<std::size_t>(outcome.reason);
    if (state < states && reason < reasons) {
        ++this->by_outcome[state][reason];
    }
}

std::vector<outcome_count> traffic_counters::outcomes() const
{
    std::vector<outcome_count> result;
    for (std::size_t state = 0; state < states; ++state) {
        for (std::size_t reason = 0; reason < reasons; ++reason) {
            if (const auto count = this->by_outcome[state][reason].load(); count > 0) {
                result.push_back({.state = static_cast<core::run_state>(state),
                                  .reason = static_cast<core::failure>(reason),
                                  .count = count});
            }
        }
    }
    return result;
}

} // namespace hibiscusfall::traffic
