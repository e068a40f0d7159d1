#pragma once

#include "relay_context.hpp"

namespace hibiscusfall::traffic::detail
{

/// @brief Settles a granted claim exactly once, also when the request ends by an exception.
class claim_guard
{
public:
    explicit claim_guard(relay_context& given) : context(given) {}
    ~claim_guard();
    claim_guard(const claim_guard&) = delete;
    claim_guard& operator=(const claim_guard&) = delete;

    /// @brief Asks for the claim of the request's idempotency key, when it has one.
    /// @returns The decision; granted also when there is nothing to claim.
    [[nodiscard]] core::claim_decision claim();

    /// @brief Tells how the request ended; does nothing the second time.
    void settle(const core::verdict& outcome);

private:
    relay_context& context;
    std::uint64_t number = 0;
    bool open = false;
};

} // namespace hibiscusfall::traffic::detail
