#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <string>
#include <string_view>

namespace hibiscusfall::peers
{

/// @brief Reports that a hub collects and forwards to its failure domain as one datagram.
struct report_batch {
    std::string reports; ///< Encoded and concatenated.
    core::instant started_at{};
};

/// @brief Size limit of a batch, as the loss of one datagram loses the whole batch. A larger report forms a
/// batch of its own.
inline constexpr std::size_t max_batch_bytes = 8000;

/// @brief Adds encoded reports.
/// @returns The previous batch if both do not fit into one datagram; empty otherwise.
[[nodiscard]] std::string add(report_batch& batch, std::string_view reports, core::instant now);

} // namespace hibiscusfall::peers
