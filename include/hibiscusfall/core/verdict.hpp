#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hibiscusfall::core
{

/// @brief Whether a request may have run at an endpoint.
enum class run_state : std::uint8_t {
    not_run,     ///< No part of the request reached an endpoint that could have acted on it.
    ran,         ///< The endpoint's complete response was read.
    may_have_run ///< Neither of these is certain.
};

/// @brief Why a request failed. Callers see the name as the error code.
enum class failure : std::uint8_t {
    none,
    unauthorized,       ///< Unknown or missing team token.
    unknown_service,    ///< No such service in the configuration.
    malformed,          ///< The request itself cannot be accepted.
    too_large,          ///< Header or body exceeds its limit.
    queue_full,         ///< The queue of the team or of the instance is full.
    deadline,           ///< The deadline has passed or cannot be met.
    no_endpoint,        ///< No endpoint of the service can be reached.
    shutting_down,      ///< The instance is shutting down.
    not_configured,     ///< The instance has no configuration yet.
    key_in_use,         ///< The idempotency key was used with a different request body.
    claim_unsettled,    ///< The authority for the idempotency key is unreachable.
    endpoint_refused,   ///< The endpoint reported that it did not run the request.
    connection_failed,  ///< No connection to the endpoint could be established.
    connection_broken,  ///< The connection was lost before the complete response was read.
    garbled_answer,     ///< The endpoint's response violates its protocol.
    caller_gone,        ///< The caller closed the connection.
    retry_budget_spent, ///< A retry was possible, but the retry budget is exhausted.
    internal,           ///< An error within this program.
    unknown_path,       ///< The caller interface has no such path.
    bad_method,         ///< The path does not support this method.
    receive_timeout,    ///< The request was not received in time.
    answer_not_kept,    ///< The request of this key ran, but its response was too large to store.
    crashes_endpoints,  ///< Crashes of endpoints are attributed to the request's prompt.
    origin_unknown,     ///< The software version at which the stream began is not known.
    no_room             ///< The instance holds as many bytes of requests and responses as it may.
};

/// @brief The outcome of a request: whether it may have run, and the most recent failure.
///
/// @code
/// const verdict outcome = verdict::not_run(failure::queue_full, "team huts has 64 requests waiting");
/// if (outcome.may_retry_elsewhere(false)) { ... }
/// @endcode
struct verdict {
    run_state state = run_state::not_run;
    failure reason = failure::none;
    std::string detail;

    /// @name Construction
    [[nodiscard]] static verdict not_run(failure reason, std::string detail);
    [[nodiscard]] static verdict may_have_run(failure reason, std::string detail);
    [[nodiscard]] static verdict ran();

    /// @name Queries
    [[nodiscard]] bool answered() const noexcept { return this->state == run_state::ran; }

    /// @brief Whether the request can be retried without the risk of running a non-idempotent request twice.
    [[nodiscard]] bool may_retry_elsewhere(bool repeatable) const noexcept
    {
        return this->state == run_state::not_run || (repeatable && this->state == run_state::may_have_run);
    }
};

/// @brief The name used in headers and errors: "not-run", "ran" or "may-have-run".
[[nodiscard]] std::string_view to_string(run_state value) noexcept;

/// @brief The error code of a failure, for example "queue-full".
[[nodiscard]] std::string_view to_string(failure value) noexcept;

} // namespace hibiscusfall::core
