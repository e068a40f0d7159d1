#pragma once

#include "endpoint_exchange.hpp"
#include "relay_context.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace hibiscusfall::traffic::detail
{

/// @brief A granted slot; it is given back exactly once, at the latest when this is destroyed.
class held_slot
{
public:
    held_slot(relay_state& given, const core::slot_granted& granted) : state(given), slot(granted) {}
    ~held_slot() { this->release({}); }
    held_slot(const held_slot&) = delete;
    held_slot& operator=(const held_slot&) = delete;

    [[nodiscard]] const core::slot_granted& granted() const noexcept { return this->slot; }

    /// @brief Gives the slot back; does nothing the second time.
    void release(const core::slot_usage& usage);

    /// @brief Holds another slot from now on; the one before has to be given back already.
    void hold(const core::slot_granted& granted);

private:
    relay_state& state;
    core::slot_granted slot;
    bool released = false;
};

/// @brief An endpoint whose slot a request holds, and the exchange with it.
struct candidate {
    configuration::endpoint endpoint;
    held_slot slot;
    std::unique_ptr<endpoint_exchange> exchange;
    core::instant sent{};
    std::uint64_t tokens_before = 0;         ///< Tokens of the answer that came from other endpoints.
    std::optional<core::instant> first_byte; ///< Of this endpoint.

    candidate(relay_state& state, configuration::endpoint given, const core::slot_granted& granted)
        : endpoint(std::move(given)), slot(state, granted)
    {
    }
};

/// @brief Finds the endpoint of a granted slot; the scheduler may know a newer configuration.
[[nodiscard]] std::optional<configuration::endpoint> find_endpoint(const relay_context& context,
                                                                   const core::endpoint_id& id);

/// @brief Whether some endpoint of the request's service may be tried yet.
[[nodiscard]] bool endpoints_left(const relay_context& context);

/// @brief The times of an exchange, from the options.
[[nodiscard]] exchange_times make_times(const caller_server_options& options);

/// @brief The request as it is written to an endpoint.
[[nodiscard]] endpoint_request make_endpoint_request(const relay_context& context, const core::address& to);

/// @brief Sends the request to the candidate's endpoint.
/// @param fresh Whether a connection of its own is made; non-repeatable requests always get one.
[[nodiscard]] core::verdict send_to(relay_context& context, candidate& target, bool fresh);

/// @brief Closes the exchange, orders a model engine to cancel the request, then gives the slot back.
void cancel_run(relay_context& context, candidate& target);

/// @brief Orders a model engine to cancel the request, on another thread.
void order_cancel_later(relay_context& context, const core::address& to);

/// @brief As cancel_run, on another thread.
void cancel_run_later(relay_context& context, std::unique_ptr<candidate> target);

} // namespace hibiscusfall::traffic::detail
