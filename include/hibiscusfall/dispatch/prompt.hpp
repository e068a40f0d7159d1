#pragma once

#include <cstdint>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief A segment of a prompt that other requests may share.
struct prompt_segment {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// @brief The size of a generation as stated by its caller.
struct prompt {
    std::vector<prompt_segment> segments;   ///< In order; the last one belongs to the request or its session.
    std::uint32_t prompt_tokens = 0;        ///< Prompt tokens, including the segments'.
    std::uint32_t max_output_tokens = 0;    ///< Upper limit of output tokens; zero if unknown.
    std::uint32_t hinted_output_tokens = 0; ///< The caller's estimate of output tokens; zero for none.
    std::uint32_t expected_output_tokens = 0; ///< The estimate in use.
};

} // namespace hibiscusfall::dispatch
