#pragma once

#include "record.hpp"

#include <boost/beast/http.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hibiscusfall::review
{

using http_request = boost::beast::http::request<boost::beast::http::string_body>;

/// @brief A run of a request at a worker.
struct run {
    instant at{};
    std::string worker;
    std::string id;
    std::string tenant;
    std::string credential; ///< Empty unless a key was passed on.
};

/// @brief All runs, at all workers.
class run_log
{
public:
    void add(run begun)
    {
        const std::lock_guard lock(this->mutex);
        this->runs.push_back(std::move(begun));
    }

    [[nodiscard]] std::vector<run> all()
    {
        const std::lock_guard lock(this->mutex);
        return this->runs;
    }

private:
    std::mutex mutex;
    std::vector<run> runs;
};

/// @brief What a worker is.
struct worker_options {
    std::string id;
    std::string service;
    std::string ip;
    std::uint16_t port = 9000;
    std::string zone;
    std::string version = "1.0";
    unsigned slots = 6;
    unsigned queue = 24;
};

/// @brief A stand-in of a worker, as PROTOCOL.md describes it.
/// @remarks Answers 421 unless it is the worker that the request expects, 503 as not run when its queue is
/// full, and health questions and reports by itself.
class worker
{
public:
    /// Writes to the connection of a request; false once the connection has ended.
    using writer = std::function<bool(const std::string&)>;
    /// Runs a request and writes the response. @returns Whether the connection is kept.
    using work = std::function<bool(worker&, const http_request&, const writer&)>;

    worker(worker_options what, run_log& runs, work what_it_does);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// @brief Starts to serve, as a new incarnation.
    void start();

    /// @brief Ends at once: what is in progress breaks off, and connections are refused.
    void crash();

    /// @brief Its entry in the store; the sequence rises with each call.
    [[nodiscard]] std::string entry();

    /// @brief A response with the headers of a worker.
    [[nodiscard]] std::string response(const http_request& request, const std::string& body) const;

    /// @brief The head of a stream, whose events follow in chunks.
    [[nodiscard]] std::string stream_head(const http_request& request) const;

    [[nodiscard]] static std::string chunk(const std::string& bytes);

    [[nodiscard]] bool is_up() const { return this->up; }

    worker_options options;

private:
    void accept_all(int descriptor, std::uint64_t number);
    void serve(int descriptor, std::uint64_t number);
    bool take_slot();
    std::string report();
    /// When this incarnation started, in Unix milliseconds. The caller holds the mutex.
    std::int64_t born();
    void release_slot();

    run_log& log;
    work runs_request;
    std::int64_t born_ms = 0;
    std::uint64_t sequence = 0;
    std::mutex mutex;
    std::condition_variable slot_free;
    unsigned running = 0;
    unsigned waiting = 0;
    std::atomic<bool> up{false};
    std::atomic<std::uint64_t> incarnation{0};
    int listener = -1;
    std::vector<int> connections;
    std::list<std::thread> threads;
};

} // namespace hibiscusfall::review
