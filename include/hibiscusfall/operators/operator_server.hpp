#pragma once

#include "hibiscusfall/core/address.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cxxtools::http
{
class Service;
}

namespace hibiscusfall::operators
{

/// @brief One request to the operator interface.
struct operator_call {
    std::string_view path;
    std::string_view token; ///< The bearer token; empty when there was none.
    std::string_view body;
};

/// @brief The whole answer to one request.
struct operator_reply {
    int status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// @brief HTTP for operators and for calls between instances: whole requests, whole answers.
///
/// @code
/// operator_server server({.host = "127.0.0.1", .port = 8090});
/// server.route("/health", [](const operator_call&) { return operator_reply{.body = "{}"}; });
/// server.start();
/// @endcode
class operator_server
{
public:
    using handler = std::function<operator_reply(const operator_call&)>;

    explicit operator_server(core::address listen);
    ~operator_server();
    operator_server(const operator_server&) = delete;
    operator_server& operator=(const operator_server&) = delete;

    /// @brief Sets who answers a path; called on the server's threads. Only before start.
    void route(std::string path, handler call);

    /// @brief Hands the requests of a path to a service, which must live until stop. Only before start.
    void mount(std::string path, cxxtools::http::Service& service);

    /// @brief Starts to serve.
    /// @returns Nothing when it worked, otherwise why it did not.
    [[nodiscard]] std::optional<std::string> start();

    void stop();

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace hibiscusfall::operators
