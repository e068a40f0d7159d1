#pragma once

#include "hibiscusfall/core/verdict.hpp"
#include "hibiscusfall/dispatch/fleet_book.hpp"

#include <cstdint>
#include <span>
#include <string_view>

namespace hibiscusfall::dispatch
{

/// @brief How requests are placed and refused. All but the first exist to measure it against.
enum class policy : std::uint8_t {
    engine_model,    ///< By predicted first tokens, kept parts and shares of teams.
    least_in_flight, ///< To the endpoint with the fewest requests; refuses nothing.
    no_admission     ///< By predicted first tokens and kept parts; refuses nothing.
};

/// @brief A request that is to be placed.
struct candidate {
    core::service_id service;
    const prompt* generation = nullptr; ///< Null for plain services.
    team_tag team = 0;
    core::instant arrived{};
    core::instant deadline{};
    core::duration aim{};       ///< From the caller's first attempt.
    core::duration waited{};    ///< Since the caller's first attempt, before it came here.
    core::duration pause_aim{}; ///< Longest pause of a stream that is on time; zero for none.
    bool repeatable = false;
    std::span<const endpoint_tag> excluded; ///< Endpoints that were tried already.
    std::uint64_t draw = 0;                 ///< A digest of the request, to break ties.
};

/// @brief What becomes of a request.
struct placement_decision {
    bool placed = false;
    endpoint_tag endpoint = 0;
    core::duration expected{};    ///< Until the first token, where placed or best.
    std::uint32_t read_again = 0; ///< Shared tokens that the endpoint has to read though another holds them.
    std::uint32_t considered = 0; ///< Endpoints that were weighed.
    bool within_share = true;     ///< Whether the team is within its share.
    bool overdue = false;         ///< Whether the caller's aim passed before it came here.
    core::failure reason = core::failure::none; ///< Why it was refused.
    core::duration retry_after{};               ///< When capacity is expected; zero when unknown.
};

/// @brief Places a request, or refuses it at once when it cannot be served in time.
/// @remarks Answers the heaviest days: prompts arrive faster than the engines read them, in waves, with teams
/// that ask for many times their share, while each shared part of a prompt is worth keeping at one engine.
[[nodiscard]] placement_decision
place(const fleet_book& book, const candidate& request, policy how, core::instant now);

/// @brief Tokens that a generation counts against its team's share: those read and twice those generated.
[[nodiscard]] double share_cost(const prompt& generation);

/// @brief A short name for logs.
[[nodiscard]] std::string_view to_string(policy how) noexcept;

} // namespace hibiscusfall::dispatch
