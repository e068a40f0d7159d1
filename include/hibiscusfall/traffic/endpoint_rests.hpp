#pragma once

#include "hibiscusfall/core/identifiers.hpp"
#include "hibiscusfall/core/instant.hpp"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace hibiscusfall::traffic
{

/// @brief Longest time that is taken from an endpoint's Retry-After; a longer one is cut to it.
constexpr core::duration longest_retry_after = std::chrono::seconds{60};

/// @brief Reads the value of a Retry-After header.
/// @returns The time, at most longest_retry_after; nothing unless it is a whole number of seconds above 0.
/// @remarks The form with a date is not taken: its meaning hangs on the endpoint's clock.
[[nodiscard]] std::optional<core::duration> read_retry_after(std::string_view value);

/// @brief Endpoints that refused a request and said when to come back.
struct endpoint_rests {
    std::map<core::endpoint_id, core::instant> until;
};

/// @brief Notes a refusal; entries whose time is over are dropped, so that memory stays bounded by the
/// endpoints that refused within longest_retry_after.
void note_rest(endpoint_rests& rests,
               const core::endpoint_id& endpoint,
               core::duration retry_after,
               core::instant now);

/// @brief The endpoints whose time is not over.
[[nodiscard]] std::vector<core::endpoint_id> resting(const endpoint_rests& rests, core::instant now);

} // namespace hibiscusfall::traffic
