#pragma once

#include "attempt.hpp"

#include "hibiscusfall/dispatch/placement.hpp"
#include "hibiscusfall/relay/relay_server.hpp"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace hibiscusfall::relay::detail
{

/// @brief An attempt that another one has prepared: where it is placed, and what is done already.
struct next_attempt {
    dispatch::placement_decision decision;
    prepared_attempt prepared;
    std::optional<dispatch::running_request> running; ///< Once the request is recorded as sent.
};

/// @brief How far a second send has come.
enum class second_send_state : std::uint8_t {
    none,
    opening, ///< Opens its connection.
    sent,    ///< Waits for the beginning of its response.
    won,     ///< Its response has begun, and the first attempt's connection is closed.
    failed,  ///< No valid response has begun.
    ended    ///< The first attempt was answered, or the request has ended.
};

/// @brief Sends a request to a second endpoint while the first attempt waits, and reads the beginning of the
/// response: its head, and the first event of a stream.
/// @remarks A request has at most one second send.
class second_send
{
public:
    explicit second_send(request_state& of) : request(of) {}
    ~second_send(); // the server may be gone
    second_send(const second_send&) = delete;
    second_send& operator=(const second_send&) = delete;

    /// @brief Starts to open a connection to the endpoint of the decision. The request is sent once it is
    /// open, if that is still permitted then.
    /// @param latest Latest time at which the response may begin.
    /// @pre It was not started before.
    void start(const dispatch::placement_decision& decision, core::instant latest);

    [[nodiscard]] second_send_state state() const noexcept;

    /// @brief Whether it is in progress.
    [[nodiscard]] bool is_active() const noexcept;

    /// @brief Whether the request was sent.
    [[nodiscard]] bool was_sent() const noexcept { return this->current && this->current->was_sent; }

    /// @brief Ends a second send in progress, and closes its connection.
    void end();

    /// @brief Waits while it is in progress.
    asio::awaitable<void> wait();

    /// @brief The attempt that goes on with the response.
    /// @pre Its state is @c won.
    [[nodiscard]] next_attempt take();

    /// @brief Whether the request may have run at the second endpoint without a response that began validly.
    [[nodiscard]] const std::optional<core::verdict>& failure() const noexcept { return this->failed_with; }

private:
    /// Shared with the coroutine, which may outlive the request.
    struct exchange {
        request_state* request = nullptr; ///< Null once the second send has ended.
        second_send* owner = nullptr;
        dispatch::placement_decision decision;
        core::instant latest{};
        std::string request_id;
        asio::steady_timer changed;
        second_send_state state = second_send_state::opening;
        bool was_sent = false;
        std::shared_ptr<endpoint_connection> connection{};
        dispatch::running_request running{};
        begun_response response{};
    };

    static asio::awaitable<void> run(relay_server& server, std::shared_ptr<exchange> sent);
    static asio::awaitable<bool> open(relay_server& server, exchange& sent);
    static asio::awaitable<attempt_result>
    read_beginning(relay_server& server, exchange& sent, const dialect& http_dialect);
    static asio::awaitable<attempt_result> read_refusal(exchange& sent, std::unique_ptr<head_parser> head);
    static asio::awaitable<attempt_result> read_first_event(exchange& sent,
                                                            std::unique_ptr<head_parser> head);
    bool send(exchange& sent);
    void win(exchange& sent);
    void fail(exchange& sent, attempt_result result);
    void finish(exchange& sent, second_send_state state, dispatch::request_outcome sign);

    request_state& request;
    std::shared_ptr<exchange> current;
    std::optional<core::verdict> failed_with;
};

} // namespace hibiscusfall::relay::detail
