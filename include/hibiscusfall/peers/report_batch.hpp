#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <string>
#include <string_view>

namespace hibiscusfall::peers
{

/// @brief Reports that a hub collects before it passes them on to its domain as one datagram.
struct report_batch {
    std::string reports; ///< Encoded, one after another.
    core::instant begun{};
};

/// @brief A batch does not grow beyond this, as a lost datagram loses all of it. A report that is larger by
/// itself is a batch of its own.
inline constexpr std::size_t most_batch_bytes = 8000;

/// @brief Adds encoded reports.
/// @returns The batch before it when the two do not fit into one datagram; empty otherwise.
[[nodiscard]] std::string add(report_batch& batch, std::string_view reports, core::instant now);

} // namespace hibiscusfall::peers
