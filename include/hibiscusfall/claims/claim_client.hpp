#pragma once

#include "hibiscusfall/claims/effects.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace hibiscusfall::claims
{

/// @brief Times and bounds of a router's dealings with keepers.
struct client_options {
    core::duration first_resend = std::chrono::milliseconds{40};
    core::duration longest_resend = std::chrono::milliseconds{400};
    core::duration patience = std::chrono::seconds{5};      ///< Longest wait for a keeper that can answer.
    core::duration settle_limit = std::chrono::minutes{10}; ///< Longest that an outcome is sent again.
    std::size_t body_bytes = 2048;                          ///< Largest body that is kept for replays.
    std::size_t most_unsettled = 20000;
};

/// @brief A request that waits for its keeper's word.
struct open_claim {
    protocol::claim_ask ask;
    core::instant give_up{};  ///< Without a keeper's word.
    core::instant deadline{}; ///< Of the request itself.
    core::instant next_send{};
    core::duration interval{};
    bool pending = false; ///< Another request with the key is running.
};

/// @brief An outcome that no keeper has acknowledged.
struct unsettled_claim {
    protocol::claim_settle settle;
    core::instant drop_at{};
    core::instant next_send{};
    core::duration interval{};
};

/// @brief A granted claim whose request runs.
struct granted_claim {
    protocol::claim_ask ask;
};

/// @brief Totals for the metrics page.
struct client_counters {
    std::uint64_t asked = 0;
    std::uint64_t granted = 0;
    std::uint64_t replayed = 0;
    std::uint64_t not_run = 0;      ///< Refusals of requests that provably did not run.
    std::uint64_t may_have_run = 0; ///< Refusals because an earlier request has no known outcome.
    std::uint64_t settled = 0;
    std::uint64_t dropped = 0; ///< Outcomes that no keeper took in time.
};

/// @brief Claims of the requests that came to this router.
struct claim_client {
    client_options options;
    std::map<core::failure_domain_id, std::vector<core::instance_id>> live; ///< Who may keep claims.
    std::map<protocol::claim_shard, core::instance_id> keepers;             ///< Who was last heard to.
    std::uint64_t last_request = 0; ///< Set it to the incarnation: no two starts may share a number.
    std::uint64_t turns = 0;        ///< Spreads repeated asks over the live instances.
    std::map<std::uint64_t, open_claim> open;
    std::map<std::uint64_t, granted_claim> running;
    std::map<std::uint64_t, unsettled_claim> settling;
    client_counters counters;
};

/// @brief Starts to ask for a claim; its answer comes with later effects.
/// @returns The number of the request, which is also the number of the claim.
std::uint64_t
open_claim_for(claim_client& client, const core::claim_request& request, core::instant now, effects& out);

/// @brief Keeps sending how a granted claim's run ended until a keeper has it.
void settle_claim(claim_client& client,
                  std::uint64_t request,
                  const core::claim_outcome& outcome,
                  core::instant now,
                  effects& out);

/// @name Events
void on_reply(claim_client& client,
              const protocol::sender& from,
              const protocol::claim_reply& message,
              core::instant now,
              effects& out);
void on_settled(claim_client& client, const protocol::claim_settled& message);
void on_tick(claim_client& client, core::instant now, effects& out);

} // namespace hibiscusfall::claims
