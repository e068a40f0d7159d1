#pragma once

#include "hibiscusfall/rpc/call_tag.hpp"
#include "hibiscusfall/rpc/fields.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace hibiscusfall
{
namespace rpc
{

/// @brief How calls are made.
struct client_options {
    call_key key{};
    std::string path = "/v1/rpc";
    std::chrono::milliseconds connect_timeout{1000}; ///< Until the question is sent.
    std::chrono::milliseconds answer_timeout{2000};  ///< From then until the whole answer is there.
    std::size_t max_answer_bytes = 4194304;          ///< Of the body.
};

/// @brief Whom to call.
struct peer {
    std::string host;
    std::uint16_t port = 0;
};

/// @brief Why a call gave no result.
enum class failure : std::uint8_t {
    none,
    unreachable,    ///< No connection.
    silent,         ///< No whole answer in time.
    closed,         ///< The connection ended before the whole answer.
    oversize,       ///< The answer is longer than allowed.
    unreadable,     ///< The answer is not one of this fleet, or no JSON-RPC.
    refused,        ///< The peer refused the question by its HTTP status.
    unknown_method, ///< The peer has no such method.
    bad_parameters, ///< The peer wants other parameters.
    failed          ///< The method itself failed.
};

/// @brief A failed call.
struct call_error {
    failure kind = failure::none;
    std::string method;
    std::string peer; ///< "host:port".
    std::string reason;
};

/// @brief The end of a call.
struct call_result {
    fields values;
    call_error error; ///< Its kind is none when the call gave a result.

    explicit operator bool() const noexcept { return this->error.kind == failure::none; }
};

/// @brief Calls a method of a peer by JSON-RPC 2.0 over HTTP and waits for the answer. Throws nothing.
///
/// @code
/// const auto answer = rpc::call(options, {"127.0.0.1", 8090}, "configuration.since", parameters);
/// @endcode
call_result
call(const client_options& options, const peer& to, const std::string& method, const fields& parameters);

/// @brief Writes a failed call on one line: peer, method, kind and reason.
std::string to_string(const call_error& error);

/// @brief The name of a kind of failure, for logs.
const char* to_string(failure kind) noexcept;

} // namespace rpc
} // namespace hibiscusfall
