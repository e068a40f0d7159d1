#include "hibiscusfall/traffic/endpoint_rests.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace hibiscusfall::traffic
{

std::optional<core::duration> read_retry_after(std::string_view value)
{
    std::uint64_t seconds = 0;
    const auto* const end = value.data() + value.size();
    const auto [read_to, error] = std::from_chars(value.data(), end, seconds);
    if (read_to != end || error == std::errc::invalid_argument) {
        return std::nullopt;
    }
    constexpr auto longest = std::chrono::duration_cast<std::chrono::seconds>(longest_retry_after);
    constexpr auto most = static_cast<std::uint64_t>(longest.count());
    if (error == std::errc::result_out_of_range || seconds > most) {
        return longest_retry_after;
    }
    return seconds == 0 ? std::nullopt : std::optional<core::duration>{std::chrono::seconds{seconds}};
}

void note_rest(endpoint_rests& rests,
               const core::endpoint_id& endpoint,
               core::duration retry_after,
               core::instant now)
{
    std::erase_if(rests.until, [now](const auto& item) { return item.second <= now; });
    rests.until[endpoint] = now + std::min(retry_after, longest_retry_after);
}

std::vector<core::endpoint_id> resting(const endpoint_rests& rests, core::instant now)
{
    std::vector<core::endpoint_id> result;
    for (const auto& [endpoint, until] : rests.until) {
        if (now < until) {
            result.push_back(endpoint);
        }
    }
    return result;
}

} // namespace hibiscusfall::traffic
