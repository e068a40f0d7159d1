#pragma once

#include "hibiscusfall/rpc/call_tag.hpp"
#include "hibiscusfall/rpc/fields.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cxxtools
{
namespace http
{
class Service;
}
} // namespace cxxtools

namespace hibiscusfall
{
namespace rpc
{

/// @brief Which questions are taken.
struct server_options {
    call_key key{};
    std::size_t max_question_bytes = 65536;
    std::chrono::minutes clock_difference{5}; ///< Largest difference of a question's time from the own clock.
};

/// @brief One method that peers can call.
struct method {
    std::string name;
    std::vector<std::string> texts;            ///< Names of the text parameters. All are needed.
    std::vector<std::string> numbers;          ///< Names of the parameters that are whole numbers from 0 on.
    std::function<fields(const fields&)> call; ///< Called on several threads. May throw std::exception.
};

/// @brief Answers JSON-RPC 2.0 calls as a service of a cxxtools HTTP server.
class rpc_server
{
public:
    explicit rpc_server(const server_options& options);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// @brief Adds a method. Only before the HTTP server starts.
    void add(const method& added);

    /// @brief What the HTTP server hands the requests of the path to. Lives as long as this object.
    cxxtools::http::Service& service() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace rpc
} // namespace hibiscusfall
