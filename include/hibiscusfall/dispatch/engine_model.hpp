#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <deque>

namespace hibiscusfall::dispatch
{

/// @brief One request of this instance whose first token is awaited.
struct awaited_start {
    std::uint64_t ticket = 0;
    std::uint64_t total_after = 0; ///< The endpoint's total of sent tokens with this request's.
    core::instant sent{};
    core::duration expected{}; ///< Until its first token, as predicted when it was sent.
    double work_tokens = 0;    ///< Unread tokens up to and with its own.
};

/// @brief What is believed of one engine: prompts are read in order, at a speed that is learned.
/// @remarks Answers one load: prompts that arrive faster than they are read, from many instances at once.
struct engine_model {
    double tokens_per_ms = 0; ///< Learned reading speed.
    double unread = 0;        ///< Tokens not read yet, at @c unread_at.
    core::instant unread_at{};
    std::uint64_t sent_total = 0;  ///< Tokens to read that all instances have sent.
    std::uint32_t own_running = 0; ///< Requests of this instance.
    std::uint32_t others_running = 0;
    std::deque<awaited_start> awaited;
};

/// @brief Speed assumed of an engine that has shown none: the users' sheets state 61 to 66 tokens a ms for
/// reading alone; with a step's own time and the running streams 45 to 50 were measured.
inline constexpr double assumed_tokens_per_ms = 46;

/// @brief Time from sending to the first token without any reading: connection, step, first event.
inline constexpr core::duration start_overhead = std::chrono::milliseconds{25};

/// @brief Unread tokens at @p now.
[[nodiscard]] double unread_tokens(const engine_model& model, core::instant now);

/// @brief Until the engine would begin to read a request that is sent now.
/// @param view_delay By how much this instance sees late what engines did, which is no delay of theirs.
[[nodiscard]] core::duration
expected_wait(const engine_model& model, core::instant now, core::duration view_delay = {});

/// @brief Until the first token of a request with @p tokens to read, sent now.
[[nodiscard]] core::duration expected_first_token(const engine_model& model,
                                                  std::uint32_t tokens,
                                                  core::instant now,
                                                  core::duration view_delay = {});

/// @brief Notes a request of this instance; @p tokens are those to read.
void note_sent(engine_model& model, std::uint64_t ticket, std::uint32_t tokens, core::instant now);

/// @brief Notes tokens that other instances sent.
void note_sent_elsewhere(engine_model& model, std::uint64_t tokens, core::instant now);

/// @brief Learns from a first token: all that was sent before it has been read.
/// @returns The predicted and the seen time to the first token; zero when the ticket is not awaited.
struct start_error {
    core::duration expected{};
    core::duration seen{};
};
start_error note_first_token(engine_model& model, std::uint64_t ticket, core::instant now);

/// @brief Notes that a request ended before its first token.
void note_not_started(engine_model& model, std::uint64_t ticket);

/// @brief Moves the learned speed back towards the assumed one, so that an engine that was slow is tried
/// again. Called once a second.
void relax_speed(engine_model& model);

} // namespace hibiscusfall::dispatch
