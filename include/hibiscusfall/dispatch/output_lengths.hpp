#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hibiscusfall::dispatch
{

/// @brief Learned ratio of generated to allowed output tokens per route.
/// @remarks Callers' length hints are rough, and a request's actual cost is only known when it ends.
struct output_lengths {
    struct route_estimate {
        double fraction = 0;
        std::uint32_t samples = 0;
    };
    std::unordered_map<std::string, route_estimate> by_route;
};

/// @brief Expected output tokens of a request that allows @p most.
[[nodiscard]] std::uint32_t
expected_output(const output_lengths& lengths, std::string_view route, std::uint32_t most);

/// @brief Records that a complete answer had @p seen tokens where @p most were allowed.
void record_output(output_lengths& lengths, std::string_view route, std::uint32_t most, std::uint64_t seen);

} // namespace hibiscusfall::dispatch
