#pragma once

#include "hibiscusfall/core/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace hibiscusfall::scheduling
{

/// @brief The instance that holds a role, by highest random weight over the candidates.
/// @param role Names the role, for example "scheduler/a/draft".
/// @returns An empty name when there are no candidates.
/// @remarks The same candidates give the same answer everywhere; when one goes, only its roles move.
[[nodiscard]] core::instance_id choose_holder(std::span<const core::instance_id> candidates,
                                              std::string_view role);

/// @brief How many shards the scheduler of a service has in a failure domain with this many endpoints.
[[nodiscard]] std::uint32_t count_shards(std::size_t endpoints) noexcept;

/// @brief The shard that owns an endpoint's slots.
[[nodiscard]] std::uint32_t choose_shard(const core::endpoint_id& endpoint, std::uint32_t shards) noexcept;

/// @brief This instance's part of an endpoint's slots when each instance serves alone.
/// @remarks The parts of all instances add up to the slots.
[[nodiscard]] std::uint32_t part_of_slots(std::span<const core::instance_id> instances,
                                          const core::instance_id& self,
                                          const core::endpoint_id& endpoint,
                                          std::uint32_t slots);

} // namespace hibiscusfall::scheduling
