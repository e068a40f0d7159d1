#pragma once

#include "relay_state.hpp"
#include "request_reading.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusfall::traffic::detail
{

/// @brief What is counted of one request, for its log line and its settlement.
struct relay_totals {
    std::uint32_t attempts = 0;
    std::uint32_t resumes = 0;
    bool hedged = false;
    bool hedge_won = false;
    std::uint64_t tokens = 0;
    std::uint64_t bytes = 0; ///< Of the answer's body.
    double cost = 0;
    core::duration wait{}; ///< For slots, all attempts together.
    core::endpoint_id endpoint;
    std::optional<core::instant> first_byte;
};

/// @brief The answer as the claims keep it.
struct kept_answer {
    std::uint16_t status = 0;
    std::string content_type;
    std::string body;
    bool complete = false; ///< Whether the body is whole and was not too large.
};

/// @brief One request on its way, with all that is known of it.
struct relay_context {
    http_socket& caller;
    const caller_request& request;
    const std::string& id;
    relay_state& state;
    std::shared_ptr<const configuration::document> document;
    const configuration::team* team = nullptr;
    request_plan plan;
    core::instant arrived;
    core::instant deadline;
    bool claimed = false;      ///< The outcome has to be known even when the caller leaves.
    bool may_have_run = false; ///< Some endpoint may have got bytes of it.
    bool relayed = false;      ///< The caller has got bytes of an answer.
    std::vector<core::endpoint_id> tried{};
    std::vector<core::endpoint_id> resting{};    ///< Endpoints that a retry leaves out, as they asked for it.
    std::optional<core::duration> retry_after{}; ///< The shortest that a refusing endpoint has stated.
    relay_totals totals{};
    kept_answer kept{}; ///< The answer that is passed on; answers of attempts that are repeated are not kept.
    std::function<void(const core::verdict&)> settle_claim{}; ///< Called before the caller gets its answer.

    /// @brief Whether the run may be cancelled when the caller leaves.
    [[nodiscard]] bool may_abandon() const noexcept
    {
        return !this->claimed && this->plan.service->kind == configuration::service_kind::model;
    }

    /// @brief The caller's descriptor to watch; negative when its leaving changes nothing.
    [[nodiscard]] int watched_caller() const { return this->may_abandon() ? this->caller.descriptor() : -1; }

    /// @brief Notes that an endpoint refused the request and said when to come back.
    void note_retry_after(const core::endpoint_id& endpoint, core::duration stated)
    {
        this->retry_after = std::min(this->retry_after.value_or(stated), stated);
        this->state.note_rest(endpoint, stated);
    }

    /// @brief Whether the caller's connection is kept after this answer.
    [[nodiscard]] bool keep_alive() const { return this->request.keep_alive() && !this->state.leaving(); }

    /// @brief The service used by an answer of so many tokens.
    [[nodiscard]] double cost_of(std::uint64_t tokens) const noexcept
    {
        return this->plan.service->worth_per_request +
               this->plan.service->worth_per_token * static_cast<double>(tokens);
    }
};

} // namespace hibiscusfall::traffic::detail
