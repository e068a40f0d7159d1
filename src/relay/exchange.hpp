#pragma once

#include "attempt.hpp"
#include "further_response.hpp"

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/core/verdict.hpp"

#include <memory>
#include <optional>
#include <string>

/// @file
/// @brief Steps of an exchange with an endpoint that attempts and second sends have in common.

namespace hibiscusfall::relay::detail
{

[[nodiscard]] attempt_result failed(core::verdict outcome, dispatch::request_outcome sign);

/// @brief The head of the request as it is sent to an endpoint.
/// @param prefix_source Engine from which the endpoint copies the beginning of the prompt; empty for none.
[[nodiscard]] std::string format_request_head(const request_state& state,
                                              const dispatch::endpoint_state& endpoint,
                                              std::optional<dispatch::endpoint_tag> prefix_source,
                                              core::instant now);

/// @brief A parser for a stream of events whose head has been read.
[[nodiscard]] std::unique_ptr<streaming_parser> make_streaming_parser(head_parser&& head);

/// @brief Result of an attempt whose response did not arrive completely.
[[nodiscard]] attempt_result
incomplete_response(const request_state& state, const endpoint_connection& connection, read_result end);

/// @brief Result of an attempt with a complete response that is an error or is not valid.
[[nodiscard]] attempt_result classify_failure(const response_metadata& metadata, buffered_response answer);

/// @brief Looks for a further response to the request: anywhere after the head of a refusal, in the body of
/// another response.
/// @remarks A reused connection may also bring a second answer to an earlier request. Since bodies may hold
/// any text, it is looked for only if the end of the body is in doubt.
[[nodiscard]] further_response search_buffered(const request_state& state,
                                               const endpoint_connection& connection,
                                               const buffered_parser& parser,
                                               bool is_refusal);

/// @brief Whether the response is a stream of events. Endpoints may omit the content type.
[[nodiscard]] bool is_event_stream(const request_state& state, const response_head& head);

/// @brief Whether the head is that of a successful response that its endpoint has signed.
[[nodiscard]] bool is_valid_begin(const response_metadata& metadata, const response_head& head);

/// @brief Records that an endpoint has responded, and what it announces in the head of its response.
response_metadata
record_response_head(relay_server& server, dispatch::endpoint_tag tag, const response_head& head);

} // namespace hibiscusfall::relay::detail
