#pragma once

#include "node_parts.hpp"

#include "hibiscusfall/claims/claim_client.hpp"
#include "hibiscusfall/claims/claim_keeper.hpp"
#include "hibiscusfall/core/claim.hpp"
#include "hibiscusfall/platform/store_client.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace hibiscusfall::node::detail
{

/// @brief What claims need of the platform's store.
struct claim_store_ports {
    std::function<std::optional<platform::stored_value>(const std::string& key)> read;
    std::function<platform::swap_outcome(
        const std::string& key, std::int64_t expected, const std::string& value)>
        swap;
};

/// @brief What this instance holds of claims at the moment.
struct claim_figures {
    std::size_t shards_served = 0;
    std::size_t claims = 0; ///< Copies included.
    std::size_t bytes = 0;
    std::size_t unsettled = 0; ///< Outcomes that no keeper has acknowledged.
};

/// @brief Connects the decisions on claims to datagrams, timers, the store and the traffic threads.
class claims_shell
{
public:
    claims_shell(node_core& given, claim_store_ports store_ports);
    ~claims_shell();
    claims_shell(const claims_shell&) = delete;
    claims_shell& operator=(const claims_shell&) = delete;

    void start(core::instant now);

    /// @brief Waits until all outcomes are settled, for a while at most, then ends the store's thread.
    void stop();

    /// @name From traffic threads
    core::claim_decision claim(const core::claim_request& request);
    void settle(std::uint64_t claim, const core::claim_outcome& outcome);

    /// @name On the control thread
    [[nodiscard]] const claims::client_counters& client_counters() const noexcept
    {
        return this->client.counters;
    }
    [[nodiscard]] claims::keeper_counters keeper_counters() const;
    [[nodiscard]] claim_figures figures() const;

private:
    struct waiter;

    void end_store_thread();
    void subscribe();
    void tick(core::instant now);
    void take_members(core::instant now);
    [[nodiscard]] claims::keeper_view make_view(const protocol::claim_shard& shard) const;
    claims::claim_keeper& keeper_of(const protocol::claim_shard& shard, core::instant now);
    void share_memory();
    void perform(claims::effects& wanted);
    void run_store_calls();
    [[nodiscard]] claims::store_result run(const claims::store_call& call) const;

    node_core& parts;
    claim_store_ports store;
    claims::claim_client client;
    std::map<protocol::claim_shard, claims::claim_keeper> keepers;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;

    std::mutex mutex; ///< Guards the calls and the stopping mark.
    std::condition_variable wake;
    std::deque<claims::store_call> calls;
    bool stopping = false;
    std::thread store_thread;
};

/// @brief The ports to the platform's service at an address.
[[nodiscard]] claim_store_ports make_claim_store_ports(const core::address& store,
                                                       std::shared_ptr<platform::store_counters> counters);

} // namespace hibiscusfall::node::detail
