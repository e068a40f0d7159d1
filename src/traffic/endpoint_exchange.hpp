#pragma once

#include "http_socket.hpp"

#include "hibiscusfall/core/verdict.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusfall::traffic::detail
{

using endpoint_request = http::request<http::string_body>;

/// @brief Times of one exchange with an endpoint, and where it connects from.
struct exchange_times {
    core::duration connect{};
    core::duration write{};
    std::string connect_from; ///< Local IP number; empty for any.
};

/// @brief How far the answer has come.
enum class answer_progress : std::uint8_t {
    waiting, ///< No byte of the body yet.
    begun,   ///< The head and the first piece, or the end, were read.
    failed   ///< The reason is in last_failure.
};

/// @brief One request to an endpoint, sent once over one connection.
/// @remarks Its verdicts are provable at the byte level: not run only when no byte of the request was handed
/// to the connection, or when the endpoint itself says so.
class endpoint_exchange
{
public:
    explicit endpoint_exchange(const exchange_times& times) : limits(times) {}

    /// @name Sending
    /// @brief Writes the request.
    /// @param kept An idle connection to use; null to connect.
    /// @returns Ran when the request was written, otherwise the failure.
    [[nodiscard]] core::verdict
    send(const core::address& to, const endpoint_request& request, std::unique_ptr<http_socket> kept);

    /// @name Receiving
    /// @brief Reads what has arrived, without waiting.
    [[nodiscard]] answer_progress advance();

    /// @brief The head of the answer, once it has begun.
    [[nodiscard]] const http::response_header<>& head() const { return this->parser->get().base(); }

    /// @brief Whether next_piece has an answer; reads what has arrived, without waiting.
    [[nodiscard]] bool piece_is_here();

    /// @brief The next piece of the body, empty at its end, after piece_is_here.
    /// @returns Nothing when the answer broke off; the reason is in last_failure.
    [[nodiscard]] std::optional<std::string_view> next_piece();

    [[nodiscard]] const core::verdict& last_failure() const noexcept { return this->failure; }

    /// @brief When the endpoint wants to be asked again, as its head states it.
    [[nodiscard]] std::optional<core::duration> retry_after() const;

    /// @name The connection
    [[nodiscard]] int descriptor() { return this->socket->descriptor(); }
    [[nodiscard]] bool used_kept_connection() const noexcept { return this->kept; }
    [[nodiscard]] const core::address& endpoint() const noexcept { return this->target; }

    /// @brief Whether any byte of an answer was received.
    [[nodiscard]] bool received_any() const noexcept { return this->received; }

    /// @brief Gives the connection away when the answer named its request, was read to its end, and the
    /// connection may be used again.
    [[nodiscard]] std::unique_ptr<http_socket> take_clean_connection();

    void close() { this->socket->close(); }

private:
    static constexpr std::size_t piece_bytes = 16384;
    using parser_type = http::response_parser<http::buffer_body>;

    [[nodiscard]] core::verdict describe(const beast::error_code& error) const;
    void expect_head();
    [[nodiscard]] bool check_head();
    [[nodiscard]] bool check_end();
    answer_progress fail(core::verdict reason);
    [[nodiscard]] answer_progress read_head();
    [[nodiscard]] answer_progress read_piece();
    [[nodiscard]] answer_progress receive();

    exchange_times limits;
    core::address target;
    std::string request_id;
    std::unique_ptr<http_socket> socket;
    std::optional<parser_type> parser;
    int interim_responses = 0;
    bool kept = false;
    bool received = false;
    bool head_read = false;
    bool broken = false;
    bool names_request = false; ///< Whether the answer carries the request's id.
    std::array<char, piece_bytes> piece{};
    std::optional<std::string_view> held_piece; ///< Read, not handed out yet.
    core::verdict failure;
};

} // namespace hibiscusfall::traffic::detail
