#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace hibiscusfall::peers
{

/// @brief An instance that knows a newer catalog.
struct copy_candidate {
    std::string_view name;
    std::uint64_t list_revision = 0;
    bool own_domain = false;
};

/// @brief Who asks.
struct copy_seeker {
    std::string_view name;
    bool is_hub = false;         ///< Whether it is the hub of its domain.
    core::duration behind{};     ///< Since it first heard of something newer.
    core::duration local_wait{}; ///< How long it leaves its hub to bring the catalog into the domain.
};

/// @brief From whom an instance takes a newer catalog.
/// @returns The position of the source; nothing while it should wait.
/// @remarks Answers a change that hundreds of instances hear of at once while two of them have it: one
/// instance of each domain fetches it from far, the others from their neighbours, each from another one.
[[nodiscard]] std::optional<std::size_t> choose_source(const copy_seeker& seeker,
                                                       std::span<const copy_candidate> ahead);

} // namespace hibiscusfall::peers
