#pragma once

#include "http.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>

/// @file
/// @brief A stand-in of the platform's store, as PROTOCOL.md describes it.

namespace standin
{

/// @brief What the store does with one call.
struct call_plan {
    enum class kind { serve, no_answer, refuse_503, reset, done_without_answer, done_late };
    kind what = kind::serve;
    milliseconds delay{4};                   ///< Before the call is executed.
    std::optional<milliseconds> cut_after{}; ///< When a watch that still waits is cut.
};

struct call_info {
    std::string method;
    std::string path;  ///< Without the query.
    std::string query; ///< As sent.
    std::string body;
    [[nodiscard]] bool is_watch() const { return path == "/api/kv-watch"; }
    [[nodiscard]] bool is_write() const { return path == "/api/kv-txn" || path == "/api/kv-lease"; }
};

/// @brief Keys with revisions, watches, conditions and leases. Its history is kept in full.
class store
{
public:
    using planner = std::function<call_plan(const call_info&)>;
    /// @param idle Time after which a connection without a call is closed.
    store(const address& at, planner plan, milliseconds idle = milliseconds{60000});
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    /// @brief Writes as the operator or a server; returns when it was acknowledged.
    instant put(const std::string& key, const std::string& value);
    instant remove(const std::string& key);
    [[nodiscard]] std::optional<std::string> value(const std::string& key);
    [[nodiscard]] std::uint64_t calls();
    [[nodiscard]] std::uint64_t cut_watches();

private:
    struct item {
        std::string value; ///< Base64.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        std::optional<item> written;
        std::uint64_t revision = 0;
    };
    void serve(connection& client);
    bool answer(connection& client, const call_info& call);
    std::string execute(const call_info& call, int& status);
    std::string watch(connection& client, const call_info& call, const call_plan& plan, bool& cut);
    std::string change(const std::string& body, int& status);
    void set(const std::string& key, const std::string& base64, std::uint64_t lease);
    void erase(const std::string& key);
    void end_leases();

    planner plan_call;
    milliseconds idle_limit;
    std::mutex guard;
    std::condition_variable changed;
    std::map<std::string, item> items;
    std::deque<event> history;
    std::map<std::uint64_t, std::pair<instant, milliseconds>> leases; ///< End and length.
    std::uint64_t revision = 100;
    std::uint64_t last_lease = 70000;
    std::uint64_t call_count = 0;
    std::uint64_t cut_count = 0;
    bool stopping = false;
    std::unique_ptr<listener> socket;
};

} // namespace standin
