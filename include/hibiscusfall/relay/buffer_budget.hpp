#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace hibiscusfall::relay
{

/// @brief Direction of the bytes that an instance holds.
enum class buffer_use : std::uint8_t { request, response };

/// @brief Memory for the bytes of requests and responses that an instance holds at once, in bytes.
/// @remarks Bounds them over all connections. Callers and endpoints choose how much they send and how slowly,
/// so that bounds of single messages do not bound their sum.
struct buffer_budget {
    /// Messages up to this size may use the whole budget, so that large ones do not keep them out.
    static constexpr std::size_t small_message_bytes = 65536;

    std::size_t limit = 0;
    std::size_t requests = 0;
    std::size_t responses = 0;
    std::size_t peak = 0;
    std::uint64_t denied = 0; ///< Messages for which there was no room.

    [[nodiscard]] std::size_t held() const noexcept { return this->requests + this->responses; }
};

/// @brief Whether a message may grow to a size.
/// @param current What it holds already.
/// @remarks Large messages of one direction get three quarters of the budget, and those of both seven
/// eighths: endless responses leave room for the bodies of requests, and both for small messages.
[[nodiscard]] bool
has_room(const buffer_budget& budget, buffer_use use, std::size_t current, std::size_t size) noexcept;

/// @brief What one message holds of a budget; given back at its end.
class buffer_share
{
public:
    buffer_share() = default;
    buffer_share(std::shared_ptr<buffer_budget> of, buffer_use direction) noexcept;
    buffer_share(buffer_share&& other) noexcept;
    buffer_share& operator=(buffer_share&& other) noexcept;
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;
    ~buffer_share();

    /// @brief Changes the size of the message.
    /// @returns False, with nothing changed, if the budget has no room. Without a budget any size fits.
    [[nodiscard]] bool resize(std::size_t size) noexcept;

    /// @brief Gives everything back.
    void release() noexcept;

    /// @brief Hands what is held to another share; this one goes on with nothing.
    [[nodiscard]] buffer_share take() noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return this->bytes; }

private:
    std::shared_ptr<buffer_budget> budget;
    buffer_use use = buffer_use::request;
    std::size_t bytes = 0;
};

} // namespace hibiscusfall::relay
