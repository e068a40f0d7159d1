#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusfall::standins
{

/// @brief The speed of a batching engine.
struct engine_options {
    int first_token_ms = 50;
    int between_tokens_ms = 10;
    int batch = 16;      ///< Requests that it runs side by side at nearly full speed.
    int load_lag_ms = 0; ///< How old the load that it reports is.
    int load_model_ms = 0;
    bool checks_fencing = false; ///< Whether an order with an old fencing number is refused.
};

/// @brief How many times slower than an idle engine one with @p running requests is.
[[nodiscard]] double load_factor(int running, int batch) noexcept;

/// @brief One order that was given to the engine.
struct received_order {
    std::string order;
    std::string subject; ///< The model's name, or the role.
    std::uint64_t fencing = 0;
    bool accepted = false;
    std::int64_t unix_ms = 0;
};

/// @brief The state of a batching engine that all its connections share. It admits every request at once.
class engine
{
public:
    explicit engine(const engine_options& given) : options(given) {}

    /// @name Requests
    void begin(const std::string& request_id);
    void end(const std::string& request_id);
    void cancel(const std::string& request_id);
    [[nodiscard]] bool is_cancelled(const std::string& request_id) const;

    /// @name Times, as of the load at this moment
    [[nodiscard]] std::chrono::microseconds first_token(double straggler) const;
    [[nodiscard]] std::chrono::microseconds between_tokens(double straggler) const;
    [[nodiscard]] int running() const;

    /// @brief The number of running requests as the load report says it.
    [[nodiscard]] int reported_running() const;

    /// @brief Makes it slower by a factor that its load report does not show.
    void set_slowdown(double factor);

    /// @name Orders
    received_order take_order(const std::string& order, const std::string& subject, std::uint64_t fencing);
    [[nodiscard]] std::vector<received_order> orders() const;
    [[nodiscard]] std::set<std::string> models() const;

    /// @brief The role that it was last ordered to take; "any" before.
    [[nodiscard]] std::string role() const;

private:
    using clock = std::chrono::steady_clock;

    [[nodiscard]] std::chrono::microseconds scaled(int milliseconds, double straggler) const;
    void note_load();

    engine_options options;
    mutable std::mutex mutex;
    int running_now = 0;
    double slowdown = 1.0;
    std::map<std::string, bool> cancelled; ///< By running request.
    std::deque<std::pair<clock::time_point, int>> loads;
    std::uint64_t highest_fencing = 0;
    std::vector<received_order> order_list;
    std::set<std::string> loaded;
    std::string taken_role = "any";
};

} // namespace hibiscusfall::standins
