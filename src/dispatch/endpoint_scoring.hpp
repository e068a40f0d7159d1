#pragma once

#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/dispatch/prefix_transfer.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>

namespace hibiscusfall::dispatch::detail
{

/// @brief Fraction of the first-token target that the prediction may use; the rest covers the model's error.
inline constexpr double on_time_fraction = 0.85;

/// @brief An endpoint with the predicted times of a request; the lowest score is best.
struct scored {
    const endpoint_state* state = nullptr;
    double score = std::numeric_limits<double>::max();
    core::duration wait{};
    core::duration first_token{};
    std::uint32_t reread_tokens = 0;
    std::optional<prefix_source> source{}; ///< From which the beginning of the prompt is copied.
    std::uint32_t transferred_tokens = 0;
};

[[nodiscard]] double to_ms(core::duration value);

/// @brief A part of a duration.
[[nodiscard]] core::duration scale(core::duration whole, double fraction);

/// @brief Requests that the endpoint runs or queues, of this instance and its peers.
[[nodiscard]] std::uint32_t running(const endpoint_state& state);

/// @brief Scores an engine for a generation, by its predicted time to the first token.
/// @param sources Engines from which the beginning of the prompt may be copied.
/// @param stream_time Mean duration of a stream of the service.
[[nodiscard]] scored score_engine(const fleet_state& fleet,
                                  const endpoint_state& state,
                                  const placement_request& request,
                                  std::span<const resolved_segment> segments,
                                  std::span<const prefix_source> sources,
                                  core::duration stream_time,
                                  core::instant now);

/// @brief Scores an endpoint for a plain call.
[[nodiscard]] scored score_plain(const fleet_state& fleet,
                                 const endpoint_state& state,
                                 const placement_request& request,
                                 core::instant now);

/// @brief Scores an endpoint by its requests in progress.
[[nodiscard]] scored score_least_in_flight(const endpoint_state& state, const placement_request& request);

} // namespace hibiscusfall::dispatch::detail
