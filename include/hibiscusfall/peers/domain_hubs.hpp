#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace hibiscusfall::peers
{

/// @brief An instance that may become the hub of its failure domain.
struct hub_candidate {
    std::string_view name;
    double cpu_cores = 1; ///< CPU available to it, in cores; may be a fraction.
    core::instant last_heard{};
    bool leaving = false;
    bool failed_as_hub = false; ///< Whether it recently forwarded nothing while it was used as the hub.
};

/// @brief A candidate whose last report is older by more than this than the newest report from its domain
/// counts as lost. Instances send every 100 ms at least, in large fleets every 400 ms.
inline constexpr core::duration hub_timeout = std::chrono::milliseconds{600};

/// @brief Chooses the hub of one failure domain: the instance that forwards reports to the others in it.
/// @param domain The known instances of that domain.
/// @returns The index of the hub; nothing if no instance qualifies.
/// @remarks Hubs reduce the number of datagrams in fleets of many small instances, where receiving each
/// report as a separate datagram costs as much as serving requests. The choice is deterministic: instances
/// with the same view choose the same hub. While views differ, a domain may have two hubs for a short time;
/// duplicate reports are harmless.
[[nodiscard]] std::optional<std::size_t> choose_hub(std::span<const hub_candidate> domain);

} // namespace hibiscusfall::peers
