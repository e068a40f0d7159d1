#pragma once

#include "attempt.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hibiscusfall::relay::detail
{

/// @brief What the log line of a request tells besides its state.
struct request_log {
    std::string_view outcome = "none";
    unsigned status = 0;
    core::duration expected{};
    std::uint32_t read_again = 0;
    std::uint32_t considered = 0;
    bool within_share = true;
    bool reused_connection = false;    ///< Of the last attempt, like the next.
    bool ends_with_connection = false; ///< Whether the response had neither length nor chunks.
    std::string_view second_send;      ///< What became of the second send; empty if there was none.
    std::string endpoint;
    std::string detail;
};

/// @brief Logs the final response to a request.
void log_request(const request_state& state, const request_log& log);

/// @brief Logs an attempt whose response broke off, could not be read or was given up.
void log_cut_attempt(const request_state& state,
                     const request_log& log,
                     const dispatch::running_request& running,
                     const attempt_result& end);

/// @brief Ids of segments and digests of requests in hexadecimal, separated by commas.
[[nodiscard]] std::string format_ids(std::span<const std::uint64_t> ids);

} // namespace hibiscusfall::relay::detail
