#pragma once

#include "node_parts.hpp"
#include "scheduling_shell.hpp"

#include "hibiscusfall/core/identifiers.hpp"

#include <cstdint>
#include <map>
#include <utility>

namespace hibiscusfall::node::detail
{

/// @brief What the schedulers of one instance know of one team at one service.
struct team_figures {
    double service = 0; ///< Received, in the unit of worth, since the schedulers started.
    double rate = 0;    ///< Service a second, lately.
    std::uint64_t backlog = 0;

    team_figures& operator+=(const team_figures& other) noexcept;
};

/// @brief What the schedulers of one instance know of one endpoint.
struct endpoint_figures {
    std::uint32_t busy = 0;
    std::uint32_t limit = 0; ///< Slots that are in use at most, for now.
};

/// @brief The figures of one instance's schedulers.
struct local_figures {
    std::map<std::pair<core::team_id, core::service_id>, team_figures> teams;
    std::map<core::endpoint_id, endpoint_figures> endpoints;
};

/// @brief Collects figures and keeps a sample of them, from which rates follow.
class figure_collector
{
public:
    figure_collector(node_core& given, scheduling_shell& slots);

    /// @brief Starts to take samples.
    void start(core::instant now);

    /// @brief The figures now. Blocks on the control thread; never call it there.
    [[nodiscard]] local_figures collect();

private:
    struct sample {
        core::instant at{};
        std::map<std::pair<core::team_id, core::service_id>, double> service;
    };

    [[nodiscard]] local_figures read_schedulers() const;
    void take_sample(core::instant now);
    void add_rates(local_figures& figures, core::instant now) const;

    node_core& parts;
    scheduling_shell& scheduling;
    sample older;
    sample newer;
};

} // namespace hibiscusfall::node::detail
