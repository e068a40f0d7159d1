#pragma once

#include "job_thread.hpp"
#include "node_parts.hpp"

#include "hibiscusfall/placement/placement.hpp"
#include "hibiscusfall/platform/store_client.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hibiscusfall::node::detail
{

/// @brief The edge to the endpoints: one order, sent and answered. Another dialect is another function.
struct order_port {
    std::function<placement::order_outcome(const placement::order&, std::string& reason)> give;
};

/// @brief Orders by HTTP POST /admin/order.
[[nodiscard]] order_port make_http_order_port();

/// @brief Connects the placement decisions of the instance's failure domain to the store and the endpoints.
class placement_shell
{
public:
    placement_shell(node_core& given, std::shared_ptr<platform::store_counters> counters, order_port orders);

    void start(core::instant now);

    /// @brief Gives the lease back and ends the threads.
    void stop();

private:
    void perform(const placement::placement_effects& wanted);
    void take_members();
    void acquire();
    void renew();
    void release();
    void give(const placement::order& given);
    void report_acquired(std::int64_t fencing, core::instant asked);

    node_core& parts;
    platform::store_client store;
    order_port port;
    placement::placement state; ///< Of the control thread.
    platform::lease_id lease{}; ///< Of the store thread.
    std::uint64_t attempt = 0;  ///< Of the store thread.
    job_thread store_calls;
    job_thread orders;
    bool started = false;
};

} // namespace hibiscusfall::node::detail
