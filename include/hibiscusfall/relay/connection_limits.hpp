#pragma once

#include <cstddef>

namespace hibiscusfall::relay
{

/// @brief Descriptors of an instance and their use.
struct descriptor_use {
    std::size_t available = 0; ///< That the process may open; zero if no limit is known.
    std::size_t callers = 0;   ///< Open connections of callers.
    std::size_t endpoints = 0; ///< Open connections to endpoints.
};

/// @brief Number of caller connections that leave enough descriptors for everything else.
/// @returns The largest number if no limit is known.
/// @remarks Designed for an instance that receives several times its share of callers, who keep their
/// connections open: without a limit accepts fail, and callers wait for a connection until they give up.
[[nodiscard]] std::size_t max_caller_connections(const descriptor_use& use) noexcept;

/// @brief Number of idle caller connections to close now, the longest idle first.
[[nodiscard]] std::size_t idle_connections_to_close(const descriptor_use& use) noexcept;

/// @brief Whether kept connections are closed after their responses, as there are not enough idle ones to
/// close.
[[nodiscard]] bool should_close_after_response(const descriptor_use& use) noexcept;

/// @brief Whether a new connection gets a refusal and is closed.
[[nodiscard]] bool should_refuse_connection(const descriptor_use& use) noexcept;

} // namespace hibiscusfall::relay
