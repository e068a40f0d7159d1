#pragma once

#include "store.hpp"

#include <atomic>
#include <fstream>
#include <sys/types.h>
#include <thread>
#include <vector>

/// @file
/// @brief Instances of hibiscusfall-entry as processes, servers, and the record of a case.

namespace standin
{

/// @brief Writes lines with the time since the start of the case.
class record
{
public:
    explicit record(const std::string& path);
    void line(const std::string& text);
    [[nodiscard]] double now() const;

private:
    std::mutex guard;
    std::ofstream file;
    instant begin = steady::now();
};

/// @brief One process of the deploy file's role, with a settings file of its own.
class entry
{
public:
    struct options {
        std::string name;
        std::string zone = "zone-a";
        std::string host;
        std::uint16_t inner_port = 0;
        std::vector<std::string> seeds;
        address store;
        std::string folder;
    };
    explicit entry(options chosen);
    ~entry();
    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    void start();
    void signal(int number) const;
    void end(int number); ///< Signals and waits until it has ended.
    [[nodiscard]] bool is_running();
    [[nodiscard]] bool wait_until_ready(milliseconds limit) const;
    [[nodiscard]] const address& front() const { return callers; }

private:
    options given;
    address callers;
    address readiness;
    address metrics;
    std::string settings;
    pid_t process = 0;
};

/// @brief A server of the platform with its entry in the store.
class server
{
public:
    struct options {
        std::string id;
        std::string service;
        std::string zone = "zone-a";
        std::string version = "v1";
        address at;
        int slots = 64;
    };
    using handler = std::function<void(connection&, const message&)>;
    server(options chosen, store& registry, handler run);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    void register_entry(const std::string& state = "ready"); ///< Writes its entry and keeps writing it.
    instant leave_store();                                   ///< Its entry goes; it still serves.
    void fall_silent(); ///< It writes no more; its entry goes after three heartbeats.
    void crash();       ///< Ends as its process does: its port, its connections and what it runs.
    [[nodiscard]] const options& about() const { return given; }

private:
    void write_entry();
    options given;
    store& registry;
    std::int64_t born;
    std::mutex guard;
    std::string state;
    std::optional<instant> lapses_at;
    int sequence = 0;
    std::atomic<bool> ended{false};
    std::thread beats;
    std::unique_ptr<listener> socket;
};

/// @brief A folder that is removed at the end.
class temporary_folder
{
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    void remove() const;
    std::string path;
};

/// @brief Whether none of the instances has ended by itself.
[[nodiscard]] bool all_running(const std::vector<std::unique_ptr<entry>>& entries, std::size_t first = 0);

/// @brief Whether the disruption is to be left out: run.sh passes TROUBLE on as the second argument.
[[nodiscard]] bool is_calm(int count, char** arguments);

/// @brief A loopback host of this case, so that cases at the same time do not meet.
[[nodiscard]] std::string loopback_host(int number);

/// @brief A response with a signature, for a request with this id.
[[nodiscard]] std::string signed_head(const std::string& id, const std::string& more);

} // namespace standin
