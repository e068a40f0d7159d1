#pragma once

#include "hibiscusfall/scheduling/scheduler_options.hpp"
#include "hibiscusfall/scheduling/ticket.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace hibiscusfall::scheduling
{

/// @brief A ticket's place within its team: short expected work first, moved back by age only.
struct queue_place {
    core::instant rank{};
    std::uint64_t arrival = 0;

    [[nodiscard]] friend auto operator<=>(const queue_place&, const queue_place&) = default;
};

/// @brief What a team received and waits for.
struct team_account {
    double share = 1.0;
    double virtual_service = 0;       ///< Service per share over the fleet, lifted after idle times.
    double settled = 0;               ///< Service of answered requests in this epoch; never falls.
    double running = 0;               ///< Charged to requests that still run.
    std::uint32_t remote_backlog = 0; ///< Tickets waiting at schedulers elsewhere.
    std::map<queue_place, waiting_ticket> waiting;

    [[nodiscard]] bool backlogged() const noexcept
    {
        return !this->waiting.empty() || this->remote_backlog > 0;
    }
};

/// @brief Where a ticket waits.
struct ticket_place {
    core::team_id team;
    queue_place place;
};

/// @brief The queues and accounts of all teams, with indexes over tickets and over the order of service.
/// @remarks Change an account's virtual service, queue or remote backlog only through the functions below.
struct account_book {
    using ordered_team = std::pair<double, core::team_id>;

    std::map<core::team_id, team_account> teams;
    std::set<ordered_team> local_order; ///< Teams with tickets here, least served first.
    std::set<ordered_team> fleet_order; ///< Teams with tickets anywhere, least served first.
    std::map<ticket_key, ticket_place> places;
    std::set<std::pair<core::instant, ticket_key>> deadlines;
    std::map<core::instance_id, std::uint32_t> waiting_per_router;
    std::size_t waiting_short = 0;
    double virtual_time = 0; ///< Virtual service of the team served last.
    double largest_cost = 0; ///< Of the costs settled, slowly forgotten.
    std::uint64_t arrivals = 0;
};

/// @brief Applies a change to one account and keeps the orders right.
void update_account(account_book& book,
                    const core::team_id& team,
                    const std::function<void(team_account&)>& change);

/// @brief Adds a ticket to its team's queue; a team that becomes backlogged is lifted.
void enqueue(account_book& book, const scheduler_options& options, waiting_ticket ticket);

/// @brief Takes a ticket out.
/// @returns Nothing when it does not wait here.
std::optional<waiting_ticket> dequeue(account_book& book, const ticket_key& key);

/// @brief Takes out every ticket of a router whose incarnation is below the given one.
void drop_tickets(account_book& book, const core::instance_id& router, std::uint64_t below_incarnation);

/// @brief Charges (or with a negative amount refunds) a request that runs.
void charge(account_book& book, const core::team_id& team, double amount);

/// @brief Ends a request that was charged so far and cost @p actual in all.
void settle(account_book& book, const core::team_id& team, double charged, double actual);

/// @brief Replaces one scheduler's part of a team's backlog elsewhere; a team that becomes backlogged is
/// lifted.
void change_remote_backlog(account_book& book,
                           const core::team_id& team,
                           std::uint32_t before,
                           std::uint32_t after);

/// @brief Service per share that schedulers elsewhere report, with no charge of this one's own.
void add_remote_service(account_book& book, const core::team_id& team, double amount);

/// @brief Lowers a lead that a merge has left, so that catching up stays bounded.
void clamp_lead(account_book& book, const scheduler_options& options, const core::team_id& team);

} // namespace hibiscusfall::scheduling
