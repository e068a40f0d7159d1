#pragma once

#include "caller_session.hpp"
#include "endpoint_answer.hpp"

#include "hibiscusfall/catalog/route_table.hpp"
#include "hibiscusfall/core/verdict.hpp"
#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/traffic/event_scanner.hpp"

#include <optional>
#include <string>

namespace hibiscusfall::relay::detail
{

/// @brief A request on its way: what was asked, and what the caller has got so far.
struct request_state {
    entry& owner;
    caller_session& caller;
    caller_request& request;
    request_facts facts{};
    std::shared_ptr<const catalog::route_table> table{}; ///< In force when the request arrived.
    const catalog::route* route = nullptr;
    const catalog::team* team = nullptr;
    core::service_id service{};
    core::instant arrived{};
    core::instant deadline{};   ///< When the caller gives up.
    core::duration waited{};    ///< How long the caller has waited before this attempt.
    core::instant timeout_at{}; ///< When the route's timeout ends the wait for an answer.
    bool head_sent = false;     ///< Whether the caller has got the head of an answer.
    traffic::event_scanner events{};
    std::uint32_t runs = 0;         ///< Endpoints at which it ran or may have run.
    core::instant last_event{};     ///< When an event was last passed on.
    core::duration first_event{};   ///< From the request's arrival to the first event; zero before it.
    core::duration longest_pause{}; ///< Between two events.
};

/// @brief An endpoint's whole answer, kept until it is sure that it goes to the caller.
struct kept_answer {
    unsigned status = 0;
    std::string head; ///< Fields, each with its line end, without those of one connection.
    std::string body;
};

/// @brief How an attempt at one endpoint ended.
struct attempt_end {
    core::verdict outcome;
    bool delivered = false; ///< Whether the caller has the whole answer.
    bool caller_gone = false;
    bool unsent = false;    ///< Whether the endpoint was never sent anything, so that it costs no repeat.
    bool timed_out = false; ///< Whether the endpoint did not answer in its time.
    std::optional<kept_answer> answer{}; ///< A failure that the endpoint answered.
    dispatch::endpoint_sign sign = dispatch::endpoint_sign::good;
};

/// @brief Sends a request to one endpoint and relays its answer.
/// @param limit When this attempt is given up if no answer has begun.
asio::awaitable<attempt_end>
run_attempt(request_state& state, dispatch::running_request& running, core::instant limit);

/// @brief Sends a kept answer to the caller.
asio::awaitable<void> deliver(request_state& state, const kept_answer& answer);

/// @brief The fields of an answer that go to the caller, each with its line end.
[[nodiscard]] std::string answer_fields(const answer_head& head);

} // namespace hibiscusfall::relay::detail
