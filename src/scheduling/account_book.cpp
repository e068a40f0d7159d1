#include "hibiscusfall/scheduling/account_book.hpp"

#include <algorithm>
#include <limits>

namespace hibiscusfall::scheduling
{

namespace
{

/// Part of the largest cost that is forgotten with each settled request.
constexpr double largest_cost_decay = 0.999;

/// A team that becomes backlogged starts at the least served one, so that idle time is not saved up.
void lift(account_book& book, const core::team_id& team)
{
    const double floor = book.fleet_order.empty() ? book.virtual_time : book.fleet_order.begin()->first;
    update_account(book, team, [floor](team_account& account) {
        account.virtual_service = std::max(account.virtual_service, floor);
    });
}

core::duration rank_delay(const scheduler_options& options, const waiting_ticket& ticket)
{
    const auto wanted = static_cast<double>(ticket.run_time.count()) * options.ageing;
    return std::min(core::duration{static_cast<std::int64_t>(wanted)}, options.longest_ageing);
}

void count_router(account_book& book, const core::instance_id& router, int change)
{
    auto& count = book.waiting_per_router[router];
    count = static_cast<std::uint32_t>(static_cast<std::int64_t>(count) + change);
    if (count == 0) {
        book.waiting_per_router.erase(router);
    }
}

} // namespace

void update_account(account_book& book,
                    const core::team_id& team,
                    const std::function<void(team_account&)>& change)
{
    auto& account = book.teams[team];
    book.local_order.erase({account.virtual_service, team});
    book.fleet_order.erase({account.virtual_service, team});
    change(account);
    if (!account.waiting.empty()) {
        book.local_order.emplace(account.virtual_service, team);
    }
    if (account.backlogged()) {
        book.fleet_order.emplace(account.virtual_service, team);
    }
}

void enqueue(account_book& book, const scheduler_options& options, waiting_ticket ticket)
{
    if (!book.teams[ticket.team].backlogged()) {
        lift(book, ticket.team);
    }
    const queue_place place{.rank = ticket.opened + rank_delay(options, ticket), .arrival = ++book.arrivals};
    book.places[ticket.key] = {.team = ticket.team, .place = place};
    book.deadlines.emplace(ticket.deadline, ticket.key);
    book.waiting_short += ticket.is_long ? 0 : 1;
    count_router(book, ticket.key.router, 1);
    const auto team = ticket.team;
    update_account(
        book, team, [&](team_account& account) { account.waiting.emplace(place, std::move(ticket)); });
}

std::optional<waiting_ticket> dequeue(account_book& book, const ticket_key& key)
{
    const auto found = book.places.find(key);
    if (found == book.places.end()) {
        return std::nullopt;
    }
    const auto team = found->second.team;
    const auto place = found->second.place;
    book.places.erase(found);
    std::optional<waiting_ticket> ticket;
    update_account(book, team, [&](team_account& account) {
        ticket = std::move(account.waiting.extract(place).mapped());
    });
    book.deadlines.erase({ticket->deadline, key});
    book.waiting_short -= ticket->is_long ? 0 : 1;
    count_router(book, key.router, -1);
    return ticket;
}

void drop_tickets(account_book& book, const core::instance_id& router, std::uint64_t below_incarnation)
{
    std::vector<ticket_key> old;
    for (auto item = book.places.lower_bound({.router = router, .incarnation = 0, .number = 0});
         item != book.places.end() && item->first.router == router &&
         item->first.incarnation < below_incarnation;
         ++item) {
        old.push_back(item->first);
    }
    for (const auto& key : old) {
        dequeue(book, key);
    }
}

void charge(account_book& book, const core::team_id& team, double amount)
{
    update_account(book, team, [amount](team_account& account) {
        account.running += amount;
        account.virtual_service += amount / account.share;
    });
}

void settle(account_book& book, const core::team_id& team, double charged, double actual)
{
    book.largest_cost = std::max(book.largest_cost * largest_cost_decay, actual);
    update_account(book, team, [charged, actual](team_account& account) {
        account.running = std::max(0.0, account.running - charged);
        account.settled += actual;
        account.virtual_service += (actual - charged) / account.share;
    });
}

void change_remote_backlog(account_book& book,
                           const core::team_id& team,
                           std::uint32_t before,
                           std::uint32_t after)
{
    if (before == after) {
        return;
    }
    if (!book.teams[team].backlogged()) {
        lift(book, team);
    }
    update_account(book, team, [before, after](team_account& account) {
        account.remote_backlog = account.remote_backlog - std::min(account.remote_backlog, before) + after;
    });
}

void add_remote_service(account_book& book, const core::team_id& team, double amount)
{
    update_account(
        book, team, [amount](team_account& account) { account.virtual_service += amount / account.share; });
}

void clamp_lead(account_book& book, const scheduler_options& options, const core::team_id& team)
{
    // Teams that wait here are known exactly; what is known of the others is old.
    const auto& order = book.local_order.empty() ? book.fleet_order : book.local_order;
    if (order.empty()) {
        return;
    }
    const auto& [least, behind] = *order.begin();
    const auto share_behind = book.teams[behind].share;
    const double floor = least;
    const double unit = options.catch_up_requests * std::max(book.largest_cost, 1.0);
    update_account(book, team, [&](team_account& account) {
        const double highest = floor + unit / account.share + unit / share_behind;
        account.virtual_service = std::min(account.virtual_service, highest);
    });
}

} // namespace hibiscusfall::scheduling
