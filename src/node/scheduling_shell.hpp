#pragma once

#include "node_parts.hpp"

#include "hibiscusfall/core/slot_request.hpp"
#include "hibiscusfall/scheduling/scheduler.hpp"
#include "hibiscusfall/scheduling/slot_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace hibiscusfall::node::detail
{

/// @brief Connects the scheduling decisions to datagrams, timers and the traffic threads.
class scheduling_shell
{
public:
    explicit scheduling_shell(node_core& given) : parts(given) {}

    void start(core::instant now);

    /// @name From traffic threads
    core::slot_decision acquire(const core::slot_request& request, const std::function<bool()>& abandoned);
    void progress(std::uint64_t ticket, const core::run_progress& progress);
    void release(std::uint64_t ticket, const core::slot_usage& usage);

    /// @name On the control thread
    using scheduler_map = std::map<scheduling::scheduler_role, scheduling::scheduler>;

    /// @brief The schedulers that this instance holds.
    [[nodiscard]] const scheduler_map& schedulers() const noexcept { return this->own_schedulers; }

    /// @brief The router's side.
    [[nodiscard]] const scheduling::slot_client& slots() const noexcept { return this->client; }

private:
    struct waiter;

    void subscribe();
    void subscribe_scheduler();
    void subscribe_exchange();
    void subscribe_client();
    void tick(core::instant now);
    void assign_roles(core::instant now);
    void begin_scheduler(const scheduling::scheduler_role& role,
                         const std::vector<scheduling::candidate>& candidates,
                         core::instant now,
                         scheduling::effects& wanted);
    void drop_departed(core::instant now, scheduling::effects& wanted);
    void take_notice(const protocol::sender& from,
                     const protocol::scheduler_notice& message,
                     core::instant now,
                     scheduling::effects& wanted);
    void perform(scheduling::effects& wanted);
    scheduling::scheduler* find_scheduler(const core::service_id& service, std::uint32_t shard);
    scheduling::scheduler* find_scheduler(const protocol::slot_id& slot);

    /// Takes one message type to a decision and performs what it wants.
    template <class type, class function>
    void take(function decide)
    {
        this->parts.hub.on<type>(
            [this, decide](const protocol::sender& from, const type& message, core::instant now) {
                scheduling::effects wanted;
                decide(from, message, now, wanted);
                this->perform(wanted);
            });
    }

    node_core& parts;
    scheduling::slot_client client;
    scheduler_map own_schedulers;
    std::set<core::instance_id> known_routers;
    std::uint64_t begun_schedulers = 0;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;
};

} // namespace hibiscusfall::node::detail
