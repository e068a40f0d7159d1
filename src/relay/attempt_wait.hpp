#pragma once

#include "attempt.hpp"
#include "second_send.hpp"
#include "successor_search.hpp"

#include "hibiscusfall/dispatch/answer_wait.hpp"
#include "hibiscusfall/dispatch/second_sends.hpp"

#include <optional>

namespace hibiscusfall::relay::detail
{

/// @brief Decides how long the attempts of a request are waited for: whether the request is sent to a second
/// endpoint meanwhile, and whether an attempt is given up for a successor.
class attempt_wait
{
public:
    explicit attempt_wait(request_state& of) : state(of), next(of.server), second(of) {}

    /// @brief Begins to wait for an attempt.
    /// @param running Of the attempt; must outlive it.
    [[nodiscard]] attempt_limits begin(const dispatch::placement_decision& decision,
                                       const dispatch::running_request& running,
                                       core::instant now);

    /// @brief Changes the result of an attempt that ended because the second send was answered first.
    /// @returns False if it ended in another way.
    [[nodiscard]] bool apply_second_answer(attempt_result& end) const;

    /// @brief Records how long the attempt took, as far as later second sends depend on it.
    void record_time(const attempt_result& end, core::instant now);

    /// @brief The successor for which the last attempt was given up; nothing if it ended in another way.
    [[nodiscard]] std::optional<next_attempt> take_successor(attempt_result& end);

    /// @brief Waits for a second send in progress if the request can go on with it.
    /// @param last Result of the first attempt. Changed if the second send may have run without an answer.
    /// @returns The second send, if it was answered.
    asio::awaitable<std::optional<next_attempt>> take_second(attempt_result& last);

    /// @brief What became of the second send; empty if there was none.
    [[nodiscard]] std::string_view second_outcome() const noexcept;

private:
    core::instant extend(core::instant now);
    bool claim();
    [[nodiscard]] bool may_move(core::instant now);
    [[nodiscard]] bool may_go_on(const attempt_result& end);
    [[nodiscard]] dispatch::wait_decision check_pause(core::instant now);
    [[nodiscard]] bool is_answering(dispatch::endpoint_tag tag, core::instant now);
    [[nodiscard]] core::instant latest_start(const dispatch::placement_decision& decision,
                                             core::instant now) const;
    [[nodiscard]] dispatch::second_send_decision decide_second(core::instant now);
    core::instant consider_second(core::instant now);
    void start_second(core::instant now);

    request_state& state;
    const dispatch::running_request* running = nullptr; ///< Of the current attempt.
    core::instant move_from{};    ///< When the current attempt is moved at the earliest.
    bool is_first = false;        ///< Whether the current attempt is the request's first one.
    bool claimed = false;         ///< Whether its response is being relayed.
    bool second_decided = false;  ///< Whether it is decided whether a second send is made.
    bool second_answered = false; ///< Whether the request has gone on with it.
    successor_search next;        ///< For the attempt after the current one.
    bool moves = false;           ///< Whether the current attempt is given up for it.
    second_send second;
};

} // namespace hibiscusfall::relay::detail
