#pragma once

#include "hibiscusfall/configuration/document.hpp"
#include "hibiscusfall/core/claim.hpp"
#include "hibiscusfall/core/slot_request.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace hibiscusfall::traffic
{

/// @brief What request handling needs from the rest of the process. All may be called from any thread.
struct traffic_ports {
    /// The configuration in force; null while there is none.
    std::function<std::shared_ptr<const configuration::document>()> configuration;

    /// Waits for a slot until the request's deadline, or until @p abandoned says that nobody waits any more.
    std::function<core::slot_decision(const core::slot_request&, const std::function<bool()>& abandoned)>
        acquire;

    /// Notes how far a running request has come.
    std::function<void(std::uint64_t ticket, const core::run_progress& progress)> progress;

    /// Gives a granted slot back.
    std::function<void(std::uint64_t ticket, const core::slot_usage&)> release;

    /// Claims an idempotency key before anything is dispatched; blocks until the decision or the deadline.
    std::function<core::claim_decision(const core::claim_request&)> claim{};

    /// Tells how the one run of a granted claim ended.
    std::function<void(std::uint64_t claim, const core::claim_outcome&)> settle{};
};

} // namespace hibiscusfall::traffic
