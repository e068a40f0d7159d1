#pragma once

#include "hibiscusfall/core/address.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hibiscusfall::testbed
{

/// @brief One HTTP request to make.
struct http_call {
    core::address to;
    std::string method = "POST";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds timeout{30000};
};

/// @brief A part of a body as it arrived.
struct body_piece {
    std::chrono::steady_clock::time_point arrived;
    std::size_t end = 0; ///< Length of the body up to and with this piece.
};

/// @brief All that came back.
struct http_answer {
    int status = 0;                             ///< 0 when no answer's head was read.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::vector<body_piece> pieces;
    bool whole = false;     ///< Whether the answer was read to its proper end.
    std::string error;      ///< Why it was not whole.
    bool connected = false; ///< Whether a connection was established.
    std::chrono::steady_clock::time_point begun;
    std::chrono::steady_clock::time_point ended;

    /// @brief A header's value; empty when there is none.
    [[nodiscard]] std::string header(const std::string& lower_case_name) const;

    /// @brief The value of the verdict header: "not-run", "ran", "may-have-run" or empty.
    [[nodiscard]] std::string verdict() const { return this->header("hibiscusfall-verdict"); }
};

/// @brief Makes many calls at once on one thread of its own.
class http_caller
{
public:
    http_caller();
    ~http_caller();
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    /// @brief Starts a call; @p done is called on the caller's thread.
    void start(http_call call, std::function<void(http_answer)> done);

    /// @brief Runs something on the caller's thread at a time.
    void at(std::chrono::steady_clock::time_point when, std::function<void()> work);

private:
    struct state;
    std::unique_ptr<state> shared;
};

/// @brief Makes one call and waits for its end.
[[nodiscard]] http_answer send(const http_call& call);

/// @brief GET of a target.
[[nodiscard]] http_answer get(const core::address& from, const std::string& target);

/// @brief POST of a JSON text, such as an order to a stand-in.
[[nodiscard]] http_answer post(const core::address& to, const std::string& target, const std::string& json);

/// @brief The number of "data:" events of a stream that are not its end mark.
[[nodiscard]] std::size_t count_events(std::string_view body);

} // namespace hibiscusfall::testbed
