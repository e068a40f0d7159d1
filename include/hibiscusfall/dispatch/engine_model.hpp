#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>
#include <deque>

namespace hibiscusfall::dispatch
{

/// @brief A request of this instance that has not produced its first token yet.
struct pending_request {
    std::uint64_t ticket = 0;
    std::uint64_t sent_tokens_after = 0; ///< The endpoint's @c sent_tokens including this request's.
    core::instant sent{};
    core::duration expected{}; ///< Time to first token predicted at dispatch.
    double queued_tokens = 0;  ///< Prompt tokens queued at dispatch, its own included.
};

/// @brief Model of one engine's prefill queue: prompts are processed in order at a learned speed.
/// @remarks Predicts waiting times when many instances together send prompts faster than the engine processes
/// them.
struct engine_model {
    double prefill_tokens_per_ms = 0; ///< Learned prefill speed; zero before the first sample.
    double queued_tokens = 0;         ///< Prompt tokens not processed yet as of @c queued_at.
    core::instant queued_at{};
    std::uint64_t sent_tokens = 0;   ///< Uncached prompt tokens sent by all instances.
    std::uint32_t own_requests = 0;  ///< Running requests of this instance.
    std::uint32_t peer_requests = 0; ///< Running requests of other instances.
    std::deque<pending_request> pending;
};

/// @brief Prefill speed of an engine without samples. Specified are 61 to 66 tokens per ms for prefill alone;
/// with step overhead and concurrent streams engines reach 45 to 50.
inline constexpr double default_prefill_tokens_per_ms = 46;

/// @brief Time to first token excluding prefill: connection, one step and the first event.
inline constexpr core::duration first_token_overhead = std::chrono::milliseconds{25};

/// @brief Prompt tokens that the engine has not processed yet at @p now.
[[nodiscard]] double queued_prefill_tokens(const engine_model& model, core::instant now);

/// @brief Time until the engine would start the prefill of a request sent now.
/// @param observation_delay Delay with which this instance observes engine events; not attributed to the
/// engine.
[[nodiscard]] core::duration
expected_queue_time(const engine_model& model, core::instant now, core::duration observation_delay = {});

/// @brief Time to first token of a request with @p tokens uncached prompt tokens sent now.
[[nodiscard]] core::duration expected_time_to_first_token(const engine_model& model,
                                                          std::uint32_t tokens,
                                                          core::instant now,
                                                          core::duration observation_delay = {});

/// @brief Records a request of this instance with @p tokens uncached prompt tokens.
void record_dispatch(engine_model& model, std::uint64_t ticket, std::uint32_t tokens, core::instant now);

/// @brief Records uncached prompt tokens sent by other instances.
void record_peer_dispatch(engine_model& model, std::uint64_t tokens, core::instant now);

/// @brief Updates the model from a first token, which shows that everything queued before it was processed.
/// @returns The predicted and the observed time to first token; zero if the ticket is not pending.
struct first_token_timing {
    core::duration expected{};
    core::duration observed{};
};
first_token_timing record_first_token(engine_model& model, std::uint64_t ticket, core::instant now);

/// @brief Removes a request that ended before its first token.
void remove_pending_request(engine_model& model, std::uint64_t ticket);

/// @brief Moves the learned speed towards the default, so that an engine that was slow receives requests
/// again. Called once per second.
void decay_learned_speed(engine_model& model);

} // namespace hibiscusfall::dispatch
