#pragma once

#include "hibiscusfall/catalog/route_table.hpp"
#include "hibiscusfall/dispatch/placement.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hibiscusfall::dispatch
{

/// @brief An engine that has the beginning of a prompt in its cache.
struct prefix_source {
    endpoint_tag endpoint = 0;
    std::uint32_t tokens = 0; ///< From the prompt's start.
    /// Of the engine; both point into the fleet state.
    const core::failure_domain_id* domain = nullptr;
    std::string_view software_version{};
};

/// @brief Time to copy one token of KV cache between two engines, in ms; zero if copying does not pay.
/// @remarks Copying has to be several times faster than processing the token: copies of one engine queue up,
/// and they take twice as long between failure domains.
[[nodiscard]] double transfer_ms_per_token(const catalog::engine_properties& properties) noexcept;

/// @brief Engines from which the beginning of a prompt can be copied, longest first.
/// @remarks An engine at which the request was tried before is none, nor one outside the request's homes.
/// Designed for shared documents that are asked for by more callers than one engine can serve, and
/// for engines that start with an empty cache: without copies each engine processes the document again.
[[nodiscard]] std::vector<prefix_source> find_prefix_sources(const fleet_state& fleet,
                                                             const placement_request& request,
                                                             std::span<const resolved_segment> segments,
                                                             core::instant now);

/// @brief Whether engines can copy from this one now: it accepts requests, is warm, reachable and not
/// suspended.
[[nodiscard]] bool
is_usable_source(const fleet_state& fleet, const endpoint_state& engine, core::instant now);

/// @brief The source that saves an engine most; nothing if none saves enough.
/// @param cached_tokens What the engine has of the prompt itself.
/// @remarks Of sources of the same length, one in the engine's failure domain is preferred, and engines
/// prefer different ones, since copies from one engine queue up. A source runs the engine's software version:
/// another one may lay out its cache differently.
[[nodiscard]] std::optional<prefix_source> choose_prefix_source(std::span<const prefix_source> sources,
                                                                const endpoint_state& target,
                                                                std::uint32_t cached_tokens) noexcept;

/// @brief Time to copy tokens to an engine.
[[nodiscard]] core::duration transfer_time(const endpoint_state& target, std::uint32_t tokens) noexcept;

} // namespace hibiscusfall::dispatch
