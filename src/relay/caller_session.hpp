#pragma once

#include "endpoint_link.hpp"

#include "hibiscusfall/relay/dialect.hpp"
#include "hibiscusfall/relay/entry.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace hibiscusfall::relay::detail
{

using caller_request = http::request<http::string_body>;

/// @brief How reading a request ended.
enum class reading_end : std::uint8_t { whole, closed, malformed, head_too_large, body_too_large, too_slow };

/// @brief One caller's connection: reads requests one after another and answers them in order.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    caller_session(entry& owner, tcp::socket accepted);
    ~caller_session();
    caller_session(const caller_session&) = delete;
    caller_session& operator=(const caller_session&) = delete;

    asio::awaitable<void> run();

    /// @brief Ends what is overdue.
    void sweep(core::instant now);

    /// @brief Closes the connection when it is idle.
    void close_if_idle(core::instant now);

    /// @brief Whether no request is under way, nor one likely to arrive on a connection just opened or
    /// answered.
    [[nodiscard]] bool idle(core::instant now) const noexcept;

    /// @name For the request under way
    /// @brief Whether the caller has closed its connection.
    [[nodiscard]] bool gone() const noexcept { return this->caller_gone; }

    /// @brief Looks whether the caller has closed its connection, when the loop may not have seen it yet.
    [[nodiscard]] bool look_if_gone();

    /// @brief Sends bytes to the caller, in order.
    /// @returns False when the caller is gone.
    asio::awaitable<bool> write(std::string_view head, std::string_view body);

    /// @brief The connection that is closed when the caller leaves; null for none.
    void work_on(std::shared_ptr<endpoint_link> link) { this->current = std::move(link); }

    /// @brief Whether this connection takes another request after the one under way.
    [[nodiscard]] bool keeps_open() const noexcept { return this->keep_open && !this->owner.leaving; }

    /// @brief After this answer the connection is closed.
    void close_after_answer() noexcept { this->keep_open = false; }

    /// @brief The end of an answer's head, which tells the caller whether the connection stays open.
    [[nodiscard]] std::string_view end_of_head() noexcept;

private:
    using request_parser = http::request_parser<http::string_body>;

    asio::awaitable<reading_end> receive(request_parser& parser);
    asio::awaitable<void> answer_unreadable(reading_end end);
    asio::awaitable<void> close_gently();
    void watch_caller();
    void stop_watching();
    void note_gone();

    entry& owner;
    std::shared_ptr<session_registry> registry;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<endpoint_link> current;
    core::instant expires = core::instant::max();
    std::uint64_t watch = 0; ///< Number of the watch in force; zero for none.
    std::uint64_t watches = 0;
    bool waiting = true;
    core::instant waiting_since = event_loop::now();
    bool keep_open = true;
    bool caller_gone = false;
    bool timed_out = false;
};

} // namespace hibiscusfall::relay::detail
