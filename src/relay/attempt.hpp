#pragma once

#include "caller_session.hpp"
#include "endpoint_answer.hpp"

#include "hibiscusfall/catalog/route_table.hpp"
#include "hibiscusfall/core/verdict.hpp"
#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/dispatch/request_traits.hpp"
#include "hibiscusfall/traffic/event_scanner.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusfall::relay::detail
{

/// @brief State of a request in progress: the request and what its caller has received so far.
/// @remarks Outlives the attempts at endpoints. What only one attempt has received stays with that attempt.
struct request_state {
    relay_server& server;
    caller_session& caller;
    caller_request& request;
    request_metadata metadata{};
    std::shared_ptr<const catalog::route_table> table{}; ///< In force when the request arrived.
    const catalog::route* route = nullptr;
    const catalog::team* team = nullptr;
    dispatch::team_tag team_tag = 0;
    core::service_id service{};
    core::instant arrived{};
    core::instant deadline{};             ///< Time at which the caller gives up.
    core::duration waited{};              ///< Time that the caller waited before this attempt.
    core::instant timeout_at{};           ///< End of the route's timeout for the response.
    bool head_sent = false;               ///< Whether a response head was sent to the caller.
    traffic::stream_progress delivered{}; ///< Events that were sent to the caller.
    std::uint32_t possible_runs = 0;      ///< Endpoints on which the request ran or may have run.
    core::instant last_event{};           ///< Time of the last event relayed to the caller.
    core::duration first_event{};         ///< From the request's arrival to the first event; zero until then.
    core::duration longest_pause{};       ///< Longest time between two events.
    core::instant progress_at{};          ///< Last event of the current attempt, or when it was sent.
    std::string software_version{};       ///< At which the stream began; empty until it has begun.
    std::string attempt_version{};        ///< Software version of the endpoint of the current attempt.
    std::uint64_t first_ticket = 0;       ///< Of its first attempt; zero until then.
    std::uint64_t draw = 0;               ///< A digest of the request, for choices.
    std::uint32_t attempts = 0;           ///< Endpoints that it was sent to, or was to be.
    std::vector<dispatch::endpoint_tag> tried{}; ///< These endpoints.
    std::uint32_t broken_starts = 0;             ///< Attempts that broke before their answers began.
    bool is_known_stream = false; ///< Whether it takes up a stream that is known to have begun.
    std::optional<dispatch::request_traits> traits{};      ///< Once needed; read through traits_of().
    std::optional<dispatch::endpoint_tag> prefix_source{}; ///< Engine from which the attempt's engine copies.
    bool withdrawn = false; ///< Whether the attempt was cancelled because the request crashes endpoints.
    bool is_trial = false;  ///< Whether it was let through to try whether it still crashes endpoints.
};

/// @brief A complete response of an endpoint, buffered until it is known whether the caller gets it.
struct buffered_response {
    unsigned status = 0;
    std::string head; ///< Header lines with line ends, without hop-by-hop headers.
    std::string body;
    buffer_share held; ///< For the body.
};

/// @brief Result of an attempt at one endpoint.
struct attempt_result {
    core::verdict outcome;
    bool delivered = false; ///< Whether the caller received the complete response.
    bool caller_disconnected = false;
    bool unsent = false;    ///< Whether nothing was sent to the endpoint, so that a retry is not charged.
    bool timed_out = false; ///< Whether the endpoint did not respond in time.
    bool moved = false;     ///< Whether the attempt was given up for a successor.
    bool reused_connection = false;            ///< Whether the connection had carried other requests.
    bool ends_with_connection = false;         ///< Whether the response had neither length nor chunks.
    std::size_t partial_event_bytes = 0;       ///< Received bytes of an event whose end did not arrive.
    std::optional<buffered_response> answer{}; ///< Error response of the endpoint.
    dispatch::request_outcome sign = dispatch::request_outcome::succeeded;
};

/// @brief How long an attempt waits.
struct attempt_limits {
    core::instant start{}; ///< When it is first asked whether to wait on, if no response has started.
    /// Called when the attempt has waited long. Returns when to ask again; any other time gives it up.
    std::function<core::instant(core::instant now)> extend{};
    /// Called when a successful response begins, before anything of it is relayed. Returns false if another
    /// endpoint has answered first.
    std::function<bool()> claim{};
};

/// @brief A response whose beginning has been read.
struct begun_response {
    std::unique_ptr<head_parser> head;        ///< Null for a stream of events.
    std::unique_ptr<streaming_parser> stream; ///< Null for other responses.
    std::string events;                       ///< What has been read of a stream.
};

/// @brief What has been done for an attempt before it is made.
struct prepared_attempt {
    std::shared_ptr<endpoint_connection> connection; ///< Open; null to open one.
    std::optional<begun_response> response;          ///< If the request was sent on it and is being answered.
};

/// @brief Sends a request to one endpoint and relays its response.
/// @param prepared What is done already.
asio::awaitable<attempt_result> run_attempt(request_state& state,
                                            dispatch::running_request& running,
                                            attempt_limits limits,
                                            prepared_attempt prepared);

/// @brief A scanner for the response of the next attempt, which continues after the delivered events or
/// starts from the beginning if there are none.
/// @returns Nothing when the stream cannot be resumed.
[[nodiscard]] std::optional<traffic::event_scanner> scanner_for_next_attempt(const request_state& state);

/// @brief Sends a buffered response to the caller.
asio::awaitable<void> send_response(request_state& state, const buffered_response& answer);

/// @brief The stream that the request begins or takes up.
[[nodiscard]] dispatch::stream_tag stream_of(const request_state& state);

/// @brief Whether the caller takes a stream up after its last event.
[[nodiscard]] bool is_take_up(const request_state& state);

/// @brief The digest by which all instances recognise the request when its caller sends it again.
/// @pre The request's route has been found.
[[nodiscard]] std::uint64_t digest_of(const request_state& state);

/// @brief What crashes can be attributed to in the request, with its digest.
/// @pre The request's route has been found.
[[nodiscard]] const dispatch::request_traits& traits_of(request_state& state);

/// @brief Header lines of a response that are relayed to the caller, with line ends.
[[nodiscard]] std::string response_fields(const response_head& head);

} // namespace hibiscusfall::relay::detail
