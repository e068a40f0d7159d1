#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace hibiscusfall::peers
{

/// @brief An instance through which its failure domain may be told.
struct hub_candidate {
    std::string_view name;
    double capacity = 1; ///< Part of a core that it has.
    core::instant heard{};
    bool leaving = false;
    bool silent_hub = false; ///< Whether it was used as a hub lately and passed nothing on.
};

/// @brief Time by which an instance may have been heard of later than a hub of its domain; beyond it the hub
/// counts as lost. Instances send every 100 ms at least, large fleets every 400.
inline constexpr core::duration hub_silence = std::chrono::milliseconds{600};

/// @brief Chooses the hub of one failure domain: the instance that passes reports on to its neighbours.
/// @param domain The instances of that domain that are known.
/// @returns The position of the hub; nothing when no instance qualifies.
/// @remarks Answers fleets of many small instances, for which taking each report as a datagram of its own
/// costs as much as their callers. All that see the same choose the same; where views differ a domain has two
/// hubs for a moment, and reports that come twice are harmless.
[[nodiscard]] std::optional<std::size_t> choose_hub(std::span<const hub_candidate> domain);

} // namespace hibiscusfall::peers
