#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hibiscusfall::dispatch
{

/// @brief How much of the output that callers allow is generated, learned for each route.
/// @remarks Answers hints that are rough: a request's cost is only known when it ends.
struct output_lengths {
    struct learned {
        double part = 0;
        std::uint32_t samples = 0;
    };
    std::unordered_map<std::string, learned> by_route;
};

/// @brief Expected output in tokens of a request that allows @p most.
[[nodiscard]] std::uint32_t
expected_output(const output_lengths& lengths, std::string_view route, std::uint32_t most);

/// @brief Notes that a whole answer had @p seen tokens where @p most were allowed.
void note_output(output_lengths& lengths, std::string_view route, std::uint32_t most, std::uint64_t seen);

} // namespace hibiscusfall::dispatch
