#pragma once

#include "hibiscusfall/dispatch/placement.hpp"

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace hibiscusfall::testing
{

/// @brief One request of a played load.
struct simulated_request {
    core::duration at{};
    core::team_id team;
    dispatch::prompt generation;
    core::duration first_token_target{};
};

/// @brief What callers got.
struct simulation_result {
    int on_time = 0;
    int late = 0;
    int refused = 0;
    std::uint64_t reread_tokens = 0; ///< Shared tokens read at a second engine.
    std::map<std::string, double> given_by_team;
};

/// @brief Engines that read prompts in order at one speed and run some streams at once, and one instance that
/// places requests on them.
struct load_simulation {
    int engines = 4;
    double tokens_per_ms = 46;
    double quota_per_second = 0;
    std::uint32_t places = 64;    ///< Streams that an engine runs at once.
    core::duration stream_time{}; ///< From a stream's first token to its end, for which it holds its place.
    dispatch::policy policy = dispatch::policy::engine_model;

    /// @brief Plays requests, in order of time.
    [[nodiscard]] simulation_result play(const std::vector<simulated_request>& load) const;
};

} // namespace hibiscusfall::testing
