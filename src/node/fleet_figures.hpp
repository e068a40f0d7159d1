#pragma once

#include "local_figures.hpp"

#include "hibiscusfall/core/address.hpp"
#include "hibiscusfall/rpc/call_tag.hpp"

#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace hibiscusfall::node::detail
{

/// @brief The figures of the whole fleet, as far as they could be asked for.
struct fleet_figures {
    std::map<std::pair<core::team_id, core::service_id>, team_figures> teams;
    std::map<core::endpoint_id, endpoint_figures> endpoints;
    std::vector<std::string> notes; ///< Which failure domains were not asked, and how old their figures are.
};

/// @brief Asks every live instance for its figures and keeps the last answer of each.
class fleet_figure_reader
{
public:
    fleet_figure_reader(node_core& given, figure_collector& own);

    /// @brief Asks all. Blocks for a few seconds at most; not for the control thread.
    [[nodiscard]] fleet_figures read();

    /// @brief This instance's figures in the form that the others read.
    [[nodiscard]] std::string write_own();

private:
    struct kept_answer {
        core::failure_domain_id domain;
        std::chrono::steady_clock::time_point at;
        local_figures figures;
    };

    void ask(const protocol::member_record& member);
    [[nodiscard]] std::set<core::failure_domain_id> declared_domains() const;

    node_core& parts;
    figure_collector& collector;
    rpc::call_key key;
    std::mutex mutex;
    std::map<core::instance_id, kept_answer> answers;
};

} // namespace hibiscusfall::node::detail
