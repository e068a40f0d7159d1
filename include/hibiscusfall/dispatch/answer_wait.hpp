#pragma once

#include "hibiscusfall/core/instant.hpp"

#include <cstdint>

namespace hibiscusfall::dispatch
{

/// @brief Pause of a stream after which its endpoint is asked whether it still answers.
inline constexpr core::duration pause_before_check = std::chrono::milliseconds{600};

/// @brief Result of asking an endpoint whether it still answers.
enum class endpoint_check : std::uint8_t {
    none, ///< Not asked, or it has answered.
    pending,
    failed ///< No answer in time, or no connection.
};

/// @brief What is known while a stream that has begun pauses.
struct answer_wait {
    core::instant silent_since{};     ///< Last event of the stream.
    core::instant last_received{};    ///< Last answer of the endpoint to any request, or to a check.
    core::duration caller_patience{}; ///< Pause after which the caller abandons the stream.
    endpoint_check check = endpoint_check::none;
};

/// @brief What to do about a stream that pauses.
enum class wait_step : std::uint8_t {
    wait,
    check_endpoint, ///< Ask the endpoint whether it still answers, and wait for the result.
    move            ///< Continue the stream at another endpoint, if one can take it.
};

/// @brief The next step, and when to decide again.
struct wait_decision {
    wait_step step = wait_step::wait;
    core::instant until{}; ///< Only for @c wait.
};

/// @brief Longest pause that callers tolerate in a stream (PROTOCOL.md).
/// @param first_event_target Target time to the first event.
/// @param event_gap_target Target for the longest pause between events; zero for none.
[[nodiscard]] core::duration caller_patience(core::duration first_event_target,
                                             core::duration event_gap_target) noexcept;

/// @brief Decides about a stream that pauses.
/// @remarks The silence of one stream does not show that its endpoint is lost: sound endpoints pause too. The
/// stream is moved if the endpoint answers nothing at all, or else so late that another endpoint can just
/// continue it before the caller leaves.
[[nodiscard]] wait_decision decide(const answer_wait& wait, core::instant now) noexcept;

} // namespace hibiscusfall::dispatch
