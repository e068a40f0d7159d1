#pragma once

#include <cstdint>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief A part of a prompt that other requests may share.
struct prompt_part {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// @brief The size of a generation, as its caller states it.
struct prompt {
    std::vector<prompt_part> parts; ///< In order; the last one belongs to the request or its session.
    std::uint32_t tokens_in = 0;    ///< Tokens to read, the parts included.
    std::uint32_t most_out = 0;     ///< Tokens to generate at most; zero when unknown.
    std::uint32_t hinted_out = 0;   ///< The caller's estimate of these; zero for none.
    std::uint32_t tokens_out = 0;   ///< Expected tokens to generate.
};

} // namespace hibiscusfall::dispatch
