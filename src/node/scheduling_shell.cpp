#include "scheduling_shell.hpp"

#include "hibiscusfall/scheduling/rendezvous.hpp"

#include <xxhash.h>

#include <condition_variable>
#include <mutex>
#include <optional>

namespace hibiscusfall::node::detail
{

namespace
{

constexpr auto abandonment_poll = std::chrono::milliseconds{100};
constexpr core::duration tick_interval = std::chrono::milliseconds{20};

std::uint64_t make_epoch(const protocol::sender& self, std::uint64_t begun)
{
    const auto text = self.id.str() + "/" + std::to_string(self.incarnation) + "/" + std::to_string(begun);
    return XXH3_64bits(text.data(), text.size());
}

std::vector<scheduling::candidate> list_candidates(const node_core& parts)
{
    std::vector<scheduling::candidate> result;
    for (const auto& member : membership::live_members(parts.members)) {
        result.push_back({.id = member.id, .domain = member.domain});
    }
    return result;
}

/// The schedulers of a service elsewhere.
std::map<scheduling::peer_key, core::instance_id> list_peers(const scheduling::scheduling_topology& topology,
                                                             const core::service_id& service)
{
    std::map<scheduling::peer_key, core::instance_id> peers;
    for (const auto& [role, holder] : topology.holders) {
        if (role.service == service) {
            peers[{.domain = role.domain, .shard = role.shard}] = holder;
        }
    }
    return peers;
}

} // namespace

struct scheduling_shell::waiter {
    std::mutex mutex;
    std::condition_variable answered;
    std::optional<core::slot_decision> answer;
};

void scheduling_shell::start(core::instant now)
{
    const auto& settings = this->parts.settings;
    this->client.options.self = this->parts.self;
    this->client.options.domain = settings.domain;
    this->client.options.alone = settings.mode == settings::scheduling_mode::alone;
    this->client.options.most_in_flight = settings.queue_total;
    this->subscribe();
    this->parts.on_members_changed.emplace_back([this](core::instant at) { this->assign_roles(at); });
    this->parts.on_configuration_changed.emplace_back([this](core::instant at) { this->assign_roles(at); });
    this->parts.loop.timers().every(tick_interval, now, [this](core::instant at) { this->tick(at); });
}

void scheduling_shell::tick(core::instant now)
{
    scheduling::effects wanted;
    scheduling::on_tick(this->client, now, wanted);
    for (auto& [role, scheduler] : this->own_schedulers) {
        scheduling::on_tick(scheduler, now, wanted);
    }
    this->perform(wanted);
}

void scheduling_shell::subscribe()
{
    this->subscribe_scheduler();
    this->subscribe_exchange();
    this->subscribe_client();
}

void scheduling_shell::subscribe_scheduler()
{
    using protocol::sender;
    using scheduling::effects;
    this->take<protocol::ticket_open>(
        [this](const sender& from, const auto& message, auto now, effects& out) {
            if (auto* scheduler = this->find_scheduler(message.service, message.shard)) {
                scheduling::on_open(*scheduler, from, message, now, out);
            }
        });
    this->take<protocol::ticket_cancel>(
        [this](const sender& from, const auto& message, auto now, effects& out) {
            if (auto* scheduler = this->find_scheduler(message.service, message.shard)) {
                scheduling::on_cancel(*scheduler, from, message, now, out);
            }
        });
    this->take<protocol::slot_release>(
        [this](const sender& from, const auto& message, auto now, effects& out) {
            if (auto* scheduler = this->find_scheduler(message.slot)) {
                scheduling::on_release(*scheduler, from, message, now, out);
            } else {
                // Of a scheduler that is gone: nobody needs it any more.
                out.messages.push_back(
                    {.to = from.id,
                     .body = protocol::scheduler_acknowledgement{.slots = {message.slot}, .tickets = {}}});
            }
        });
    this->take<protocol::lease_renewal>(
        [this](const sender& from, const auto& message, auto now, effects& out) {
            if (auto* scheduler = this->find_scheduler(message.service, message.shard)) {
                scheduling::on_renewal(*scheduler, from, message, now, out);
            }
        });
}

void scheduling_shell::subscribe_exchange()
{
    using protocol::sender;
    using scheduling::effects;
    this->take<protocol::exchange_summary>(
        [this](const sender& from, const auto& message, auto now, effects& out) {
            if (auto* scheduler = this->find_scheduler(message.service, message.to_shard)) {
                scheduling::on_summary(*scheduler, from, message, now, out);
            }
        });
    this->take<protocol::slot_offer>([this](const sender& from, const auto& message, auto now, effects& out) {
        if (auto* scheduler = this->find_scheduler(message.service, message.to_shard)) {
            scheduling::on_offer(*scheduler, from, message, now, out);
        }
    });
    this->take<protocol::offer_answer>(
        [this](const sender& from, const auto& message, auto now, effects& out) {
            if (auto* scheduler = this->find_scheduler(message.slot)) {
                scheduling::on_offer_answer(*scheduler, from, message, now, out);
            }
        });
}

void scheduling_shell::subscribe_client()
{
    using protocol::sender;
    using scheduling::effects;
    this->take<protocol::slot_grant>([this](const sender& from, const auto& message, auto now, effects& out) {
        scheduling::on_grant(this->client, from, message, now, out);
    });
    this->take<protocol::ticket_refuse>(
        [this](const sender& from, const auto& message, auto /*now*/, effects& out) {
            scheduling::on_refuse(this->client, from, message, out);
        });
    this->take<protocol::scheduler_acknowledgement>(
        [this](const sender& from, const auto& message, auto /*now*/, effects& /*out*/) {
            scheduling::on_acknowledgement(this->client, from, message);
        });
    this->take<protocol::scheduler_notice>(
        [this](const sender& from, const auto& message, auto now, effects& out) {
            this->take_notice(from, message, now, out);
        });
}

void scheduling_shell::take_notice(const protocol::sender& from,
                                   const protocol::scheduler_notice& message,
                                   core::instant now,
                                   scheduling::effects& wanted)
{
    const scheduling::scheduler_role role{
        .service = message.service, .domain = message.domain, .shard = message.shard};
    const auto own = this->own_schedulers.find(role);
    if (own != this->own_schedulers.end() && from.id != this->parts.self.id) {
        scheduling::yield_to_another(own->second, now);
    }
    scheduling::on_notice(this->client, from, message, now, wanted);
}

void scheduling_shell::assign_roles(core::instant now)
{
    const auto document = effective_configuration(this->parts);
    if (!document) {
        return;
    }
    const auto candidates = list_candidates(this->parts);
    scheduling::effects wanted;
    auto topology =
        scheduling::make_topology(*document, candidates, this->parts.self, this->parts.settings.domain);
    std::erase_if(this->own_schedulers, [&](const auto& item) {
        const auto holder = topology.holders.find(item.first);
        return holder == topology.holders.end() || holder->second != this->parts.self.id;
    });
    for (const auto& [role, holder] : topology.holders) {
        if (holder != this->parts.self.id || this->client.options.alone) {
            continue;
        }
        if (!this->own_schedulers.contains(role)) {
            this->begin_scheduler(role, candidates, now, wanted);
        }
        auto& scheduler = this->own_schedulers.at(role);
        scheduling::set_peers(scheduler, list_peers(topology, role.service), now);
        scheduling::on_configuration(scheduler, *document, topology.shards.at(role.service), now, wanted);
    }
    scheduling::set_topology(this->client, std::move(topology), now, wanted);
    this->drop_departed(now, wanted);
    this->perform(wanted);
}

void scheduling_shell::begin_scheduler(const scheduling::scheduler_role& role,
                                       const std::vector<scheduling::candidate>& candidates,
                                       core::instant now,
                                       scheduling::effects& wanted)
{
    std::vector<core::instance_id> routers;
    for (const auto& entry : candidates) {
        if (entry.domain == role.domain) {
            routers.push_back(entry.id);
        }
    }
    auto& scheduler = this->own_schedulers[role];
    scheduler.options = {.self = this->parts.self.id,
                         .domain = role.domain,
                         .service = role.service,
                         .shard = role.shard,
                         .epoch = make_epoch(this->parts.self, ++this->begun_schedulers)};
    scheduling::begin(scheduler, routers, now, wanted);
}

void scheduling_shell::drop_departed(core::instant now, scheduling::effects& wanted)
{
    std::set<core::instance_id> present{this->parts.self.id};
    for (const auto& [id, entry] : this->parts.members.others) {
        if (entry.record.status != protocol::member_status::removed) {
            present.insert(id);
        }
    }
    for (const auto& router : this->known_routers) {
        if (present.contains(router)) {
            continue;
        }
        for (auto& [role, scheduler] : this->own_schedulers) {
            scheduling::on_router_gone(scheduler, router, now, wanted);
        }
    }
    this->known_routers = std::move(present);
}

scheduling::scheduler* scheduling_shell::find_scheduler(const core::service_id& service, std::uint32_t shard)
{
    const auto found = this->own_schedulers.find(
        {.service = service, .domain = this->parts.settings.domain, .shard = shard});
    return found == this->own_schedulers.end() ? nullptr : &found->second;
}

scheduling::scheduler* scheduling_shell::find_scheduler(const protocol::slot_id& slot)
{
    for (auto& [role, scheduler] : this->own_schedulers) {
        if (scheduling::knows_slot(scheduler, slot)) {
            return &scheduler;
        }
    }
    return nullptr;
}

void scheduling_shell::perform(scheduling::effects& wanted)
{
    for (auto& message : wanted.messages) {
        this->parts.hub.send(message.to, std::move(message.body));
    }
    for (const auto& event : wanted.decisions) {
        telemetry::write_decision(event);
    }
    for (auto& [ticket, answer] : wanted.answers) {
        const auto found = this->waiters.find(ticket);
        if (found == this->waiters.end()) {
            continue;
        }
        const auto waiting = found->second;
        this->waiters.erase(found);
        const std::lock_guard lock(waiting->mutex);
        waiting->answer = std::move(answer);
        waiting->answered.notify_one();
    }
}

core::slot_decision scheduling_shell::acquire(const core::slot_request& request,
                                              const std::function<bool()>& abandoned)
{
    const auto waiting = std::make_shared<waiter>();
    const auto number = std::make_shared<std::uint64_t>(0);
    this->parts.loop.post([this, request, waiting, number](core::instant now) {
        scheduling::effects wanted;
        *number = scheduling::open_ticket_for(this->client, request, now, wanted);
        this->waiters[*number] = waiting;
        this->perform(wanted);
    });
    std::unique_lock lock(waiting->mutex);
    while (!waiting->answered.wait_for(lock, abandonment_poll, [&] { return waiting->answer.has_value(); })) {
        if (!abandoned()) {
            continue;
        }
        this->parts.loop.post([this, waiting, number](core::instant now) {
            scheduling::effects wanted;
            scheduling::cancel_ticket(this->client, *number, wanted);
            // A slot that was granted meanwhile goes back unused.
            scheduling::release_slot(this->client, *number, {}, now, wanted);
            this->waiters.erase(*number);
            this->perform(wanted);
        });
        return core::slot_denied{.reason = core::failure::caller_gone,
                                 .detail = "the caller closed its connection",
                                 .retry_after = {}};
    }
    return *waiting->answer;
}

void scheduling_shell::progress(std::uint64_t ticket, const core::run_progress& progress)
{
    this->parts.loop.post([this, ticket, progress](core::instant /*now*/) {
        scheduling::report_progress(this->client, ticket, progress);
    });
}

void scheduling_shell::release(std::uint64_t ticket, const core::slot_usage& usage)
{
    this->parts.loop.post([this, ticket, usage](core::instant now) {
        scheduling::effects wanted;
        scheduling::release_slot(this->client, ticket, usage, now, wanted);
        this->perform(wanted);
    });
}

} // namespace hibiscusfall::node::detail
