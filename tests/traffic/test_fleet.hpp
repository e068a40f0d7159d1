#pragma once

#include "scripted_endpoint.hpp"

#include "hibiscusfall/traffic/caller_server.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hibiscusfall::testing
{

/// @brief An answer as a caller has read it.
struct caller_answer {
    unsigned status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false; ///< Whether the message's own framing says that it is whole.

    [[nodiscard]] std::string verdict() const;
    [[nodiscard]] std::string code() const; ///< The error code of the JSON body.
};

/// @brief A connection of a caller, read and written by the test.
class caller_connection
{
public:
    explicit caller_connection(const core::address& to);

    void write(std::string_view text);
    [[nodiscard]] caller_answer read_answer();

    /// @brief Reads raw bytes until the text has come, or the connection ends.
    std::string read_until(std::string_view text);

    /// @brief Keeps the kernel from buffering much for this side.
    void shrink_receive_buffer();
    void close();

private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{context};
    boost::beast::flat_buffer buffer;
};

/// @brief The text of a request.
[[nodiscard]] std::string request_text(std::string_view method,
                                       std::string_view target,
                                       std::string_view body,
                                       std::string_view headers = {});

/// @brief A completion of team huts; a booking of team huts.
[[nodiscard]] std::string completion(bool stream, std::string_view headers = {});
[[nodiscard]] std::string booking(std::string_view headers = {});

/// @brief A callers' interface over slots that the test hands out, with services draft and booking.
class test_fleet
{
public:
    explicit test_fleet(traffic::caller_server_options options = {});

    /// @name Before start
    void add_endpoint(const std::string& id,
                      const std::string& service,
                      const core::address& address,
                      std::uint32_t slots = 4);
    void set_resume_elsewhere(bool allowed)
    {
        this->document.services.at(core::service_id{"draft"}).resume_elsewhere = allowed;
    }
    traffic::traffic_ports ports;
    void start();

    /// @name Running
    [[nodiscard]] core::address address() const { return this->server->address(); }
    [[nodiscard]] traffic::caller_server& callers() { return *this->server; }
    [[nodiscard]] caller_answer call(const std::string& text) const;

    /// @brief Waits until every granted slot was given back.
    /// @returns Whether each was given back exactly once.
    [[nodiscard]] bool slots_came_back();

    [[nodiscard]] std::vector<core::slot_usage> usages() const;
    [[nodiscard]] std::size_t granted() const;
    [[nodiscard]] std::size_t progress_reports() const;

    /// @brief Waits until a condition holds; false after a generous time.
    [[nodiscard]] static bool eventually(const std::function<bool()>& condition);

private:
    core::slot_decision acquire(const core::slot_request& request, const std::function<bool()>& abandoned);
    [[nodiscard]] std::optional<core::slot_decision> try_acquire(const core::slot_request& request);

    traffic::caller_server_options options;
    configuration::document document;
    std::shared_ptr<const configuration::document> published;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::map<core::endpoint_id, std::uint32_t> used;
    std::map<std::uint64_t, core::endpoint_id> slots;
    std::map<std::uint64_t, int> released;
    std::vector<core::slot_usage> recorded;
    std::size_t progress_calls = 0;
    std::uint64_t tickets = 0;
    std::unique_ptr<traffic::caller_server> server;
};

} // namespace hibiscusfall::testing
