// Shows the scheduler as a library, without sockets, threads or clocks: two teams with shares 1 and 3 keep
// one endpoint with two slots busy, and the slots they are granted follow their shares.
//
// Prints the requests that each team was granted, and exits 0 when the ratio is near 3.
#include "hibiscusfall/scheduling/scheduler.hpp"

#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <vector>

using namespace hibiscusfall;
using namespace std::chrono_literals;

namespace
{

const core::instance_id router_id{"router-1"};
const core::service_id service_id{"draft"};
const core::failure_domain_id domain_id{"north"};
const protocol::sender router{.id = router_id, .incarnation = 1};

configuration::document make_configuration()
{
    configuration::document document;
    document.revision = 1;
    for (const auto& [name, share] : {std::pair{"huts", 1.0}, std::pair{"schools", 3.0}}) {
        const core::team_id id{name};
        document.teams[id] = {.id = id, .share = share, .token_hash = {}, .home_domain = domain_id};
    }
    document.services[service_id] = {.id = service_id};
    const core::endpoint_id endpoint{"draft-1"};
    document.endpoints[endpoint] = {.id = endpoint,
                                    .service = service_id,
                                    .domain = domain_id,
                                    .address = {.host = "127.0.0.1", .port = 9000},
                                    .slots = 2};
    return document;
}

/// A router that keeps requests of both teams waiting and runs what is granted, 10 ms each.
class busy_router
{
public:
    busy_router()
    {
        const std::vector<core::instance_id> routers{router_id};
        scheduling::effects wanted;
        scheduling::begin(this->scheduler, routers, this->now, wanted);
        scheduling::on_configuration(this->scheduler, make_configuration(), 1, this->now, wanted);
        this->take(wanted);
        this->now += 1s; // the time in which a new scheduler asks the routers what they hold
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            scheduling::effects wanted;
            this->keep_waiting("huts", wanted);
            this->keep_waiting("schools", wanted);
            scheduling::on_tick(this->scheduler, this->now, wanted);
            this->take(wanted);
            this->now += 10ms;
            this->finish_running();
        }
    }

    std::map<core::team_id, int> granted;

private:
    void keep_waiting(const char* team, scheduling::effects& wanted)
    {
        constexpr int most_waiting = 8;
        const core::team_id id{team};
        while (this->waiting[id] < most_waiting) {
            const auto ticket = ++this->last_ticket;
            this->team_of[ticket] = id;
            ++this->waiting[id];
            scheduling::on_open(
                this->scheduler,
                router,
                {.ticket = ticket, .service = service_id, .team = id, .cost = 1, .remaining = 60s},
                this->now,
                wanted);
        }
    }

    void take(const scheduling::effects& wanted)
    {
        for (const auto& message : wanted.messages) {
            if (const auto* grant = std::get_if<protocol::slot_grant>(&message.body)) {
                const auto& team = this->team_of.at(grant->ticket);
                --this->waiting[team];
                ++this->granted[team];
                this->running.push_back(grant->slot);
            }
        }
    }

    void finish_running()
    {
        scheduling::effects wanted;
        for (; !this->running.empty(); this->running.pop_front()) {
            scheduling::on_release(
                this->scheduler,
                router,
                {.slot = this->running.front(), .answered = true, .cost = 1, .first_token = 10ms},
                this->now,
                wanted);
        }
        this->take(wanted);
    }

    scheduling::scheduler scheduler{
        .options = {.self = router_id, .domain = domain_id, .service = service_id, .epoch = 1}};
    core::instant now{};
    std::uint64_t last_ticket = 0;
    std::map<std::uint64_t, core::team_id> team_of;
    std::map<core::team_id, int> waiting;
    std::deque<protocol::slot_id> running;
};

} // namespace

int main()
{
    busy_router simulated;
    simulated.run(1000);
    const double huts = simulated.granted[core::team_id{"huts"}];
    const double schools = simulated.granted[core::team_id{"schools"}];
    std::cout << "huts (share 1): " << huts << " requests\nschools (share 3): " << schools << " requests\n";
    const double ratio = huts > 0 ? schools / huts : 0;
    return ratio > 2.9 && ratio < 3.1 ? EXIT_SUCCESS : EXIT_FAILURE;
}
