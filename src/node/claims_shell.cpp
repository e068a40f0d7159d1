#include "claims_shell.hpp"

#include "hibiscusfall/claims/claim_digest.hpp"
#include "hibiscusfall/scheduling/rendezvous.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <algorithm>
#include <chrono>

namespace hibiscusfall::node::detail
{

namespace
{

constexpr core::duration tick_interval = std::chrono::milliseconds{20};
constexpr core::duration flush_limit = std::chrono::seconds{3};
constexpr auto flush_poll = std::chrono::milliseconds{20};
constexpr core::duration store_timeout = std::chrono::milliseconds{1500};
constexpr std::size_t replicas_wanted = 3;
constexpr unsigned megabyte_bits = 20;

std::string role_of(const protocol::claim_shard& shard)
{
    return "claims/" + shard.domain.str() + "/" + std::to_string(shard.number);
}

protocol::claim_member to_member(const protocol::member_record& record)
{
    return {.id = record.id, .incarnation = record.incarnation};
}

/// The first of the candidates in rendezvous order, without the others.
std::vector<core::instance_id>
choose_some(std::vector<core::instance_id> candidates, std::string_view role, std::size_t count)
{
    std::vector<core::instance_id> chosen;
    while (chosen.size() < count && !candidates.empty()) {
        chosen.push_back(scheduling::choose_holder(candidates, role));
        std::erase(candidates, chosen.back());
    }
    return chosen;
}

} // namespace

struct claims_shell::waiter {
    std::mutex mutex;
    std::condition_variable answered;
    std::optional<core::claim_decision> decision;
};

claim_store_ports make_claim_store_ports(const core::address& store,
                                         std::shared_ptr<platform::store_counters> counters)
{
    const auto client = std::make_shared<platform::store_client>(
        platform::store_options{.store = store, .timeout = store_timeout, .counters = std::move(counters)});
    return {.read =
                [client](const std::string& key) {
                    std::string reason;
                    return client->read(key, reason);
                },
            .swap =
                [client](const std::string& key, std::int64_t expected, const std::string& value) {
                    std::string reason;
                    return client->compare_and_swap(key, expected, value, reason);
                }};
}

claims_shell::claims_shell(node_core& given, claim_store_ports store_ports)
    : parts(given), store(std::move(store_ports))
{
}

claims_shell::~claims_shell()
{
    this->end_store_thread();
}

void claims_shell::start(core::instant now)
{
    this->subscribe();
    // A late reply to an earlier start of this instance must not match a request of this one.
    this->client.last_request = this->parts.self.incarnation;
    this->client.options.body_bytes = this->parts.settings.claim_body_bytes;
    for (std::uint32_t number = 0; number < claims::shards_per_domain; ++number) {
        this->keeper_of({.domain = this->parts.settings.domain, .number = number}, now);
    }
    this->parts.on_members_changed.emplace_back([this](core::instant at) { this->take_members(at); });
    this->parts.loop.timers().every(tick_interval, now, [this](core::instant at) { this->tick(at); });
    this->take_members(now);
    this->store_thread = std::thread([this] { this->run_store_calls(); });
}

void claims_shell::stop()
{
    const auto until = std::chrono::steady_clock::now() + flush_limit;
    while (std::chrono::steady_clock::now() < until &&
           this->parts.loop.ask([this] { return !this->client.settling.empty(); })) {
        std::this_thread::sleep_for(flush_poll);
    }
    this->end_store_thread();
}

void claims_shell::end_store_thread()
{
    if (!this->store_thread.joinable()) {
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_one();
    this->store_thread.join();
}

void claims_shell::subscribe()
{
    using protocol::sender;
    auto& hub = this->parts.hub;
    const auto to_keeper = [this, &hub]<class type>(auto event) {
        hub.on<type>([this, event](const sender& from, const type& message, core::instant now) {
            claims::effects wanted;
            event(this->keeper_of(message.shard, now), from, message, now, wanted);
            this->perform(wanted);
        });
    };
    to_keeper.operator()<protocol::claim_ask>([](auto&&... arguments) { claims::on_ask(arguments...); });
    to_keeper.operator()<protocol::claim_settle>(
        [](auto&&... arguments) { claims::on_settle(arguments...); });
    to_keeper.operator()<protocol::claim_append>(
        [](auto&&... arguments) { claims::on_append(arguments...); });
    to_keeper.operator()<protocol::claim_append_reply>(
        [](auto&&... arguments) { claims::on_append_reply(arguments...); });
    to_keeper.operator()<protocol::claim_promise_ask>(
        [](auto&&... arguments) { claims::on_promise_ask(arguments...); });
    to_keeper.operator()<protocol::claim_promise_page>(
        [](auto&&... arguments) { claims::on_promise_page(arguments...); });
    hub.on<protocol::claim_reply>(
        [this](const sender& from, const protocol::claim_reply& message, core::instant now) {
            claims::effects wanted;
            claims::on_reply(this->client, from, message, now, wanted);
            this->perform(wanted);
        });
    hub.on<protocol::claim_settled>(
        [this](const sender& /*from*/, const protocol::claim_settled& message, core::instant /*now*/) {
            claims::on_settled(this->client, message);
        });
}

void claims_shell::tick(core::instant now)
{
    this->share_memory();
    claims::effects wanted;
    claims::on_tick(this->client, now, wanted);
    for (auto& [shard, keeper] : this->keepers) {
        claims::on_tick(keeper, now, wanted);
    }
    this->perform(wanted);
}

void claims_shell::take_members(core::instant now)
{
    this->client.live.clear();
    for (const auto& member : membership::live_members(this->parts.members)) {
        this->client.live[member.domain].push_back(member.id);
    }
    claims::effects wanted;
    for (auto& [shard, keeper] : this->keepers) {
        claims::on_view(keeper, this->make_view(shard), now, wanted);
    }
    this->perform(wanted);
}

claims::keeper_view claims_shell::make_view(const protocol::claim_shard& shard) const
{
    claims::keeper_view view;
    std::vector<core::instance_id> home;
    std::vector<core::instance_id> others;
    std::map<core::instance_id, protocol::claim_member> by_id;
    for (const auto& record : membership::live_members(this->parts.members)) {
        view.live.insert(to_member(record));
        by_id.emplace(record.id, to_member(record));
        (record.domain == shard.domain ? home : others).push_back(record.id);
    }
    const auto role = role_of(shard);
    const auto chosen = scheduling::choose_holder(home, role);
    view.chosen = chosen == this->parts.self.id;
    // One replica at home, which is the next keeper, and the rest in other failure domains.
    std::erase(home, this->parts.self.id);
    auto wanted = choose_some(home, role, replicas_wanted);
    const std::size_t at_home = std::min<std::size_t>(wanted.size(), 1);
    auto away = choose_some(others, role, replicas_wanted - at_home);
    wanted.insert(wanted.begin() + static_cast<std::ptrdiff_t>(at_home), away.begin(), away.end());
    wanted.resize(std::min(wanted.size(), replicas_wanted));
    for (const auto& id : wanted) {
        view.preferred.push_back(by_id.at(id));
    }
    return view;
}

claims::claim_keeper& claims_shell::keeper_of(const protocol::claim_shard& shard, core::instant now)
{
    const auto found = this->keepers.find(shard);
    if (found != this->keepers.end()) {
        return found->second;
    }
    auto& keeper = this->keepers[shard];
    keeper.self = {.id = this->parts.self.id, .incarnation = this->parts.self.incarnation};
    keeper.copy.shard = shard;
    keeper.options.limits.retention = this->parts.settings.claim_retention;
    keeper.copy.table.limits = keeper.options.limits;
    claims::effects wanted;
    claims::on_view(keeper, this->make_view(shard), now, wanted);
    return keeper;
}

void claims_shell::perform(claims::effects& wanted)
{
    for (auto& message : wanted.messages) {
        this->parts.hub.send(message.to, std::move(message.body));
    }
    for (const auto& event : wanted.events) {
        telemetry::write(event);
    }
    for (const auto& event : wanted.decisions) {
        telemetry::write_decision(event);
    }
    for (auto& [request, decision] : wanted.answers) {
        const auto found = this->waiters.find(request);
        if (found == this->waiters.end()) {
            continue;
        }
        const auto waiting = found->second;
        this->waiters.erase(found);
        const std::lock_guard lock(waiting->mutex);
        waiting->decision = std::move(decision);
        waiting->answered.notify_one();
    }
    if (!wanted.calls.empty()) {
        const std::lock_guard lock(this->mutex);
        std::move(wanted.calls.begin(), wanted.calls.end(), std::back_inserter(this->calls));
        this->wake.notify_one();
    }
}

core::claim_decision claims_shell::claim(const core::claim_request& request)
{
    const auto waiting = std::make_shared<waiter>();
    this->parts.loop.post([this, request, waiting](core::instant now) {
        claims::effects wanted;
        const auto number = claims::open_claim_for(this->client, request, now, wanted);
        this->waiters[number] = waiting;
        this->perform(wanted);
    });
    // The client always answers: at the latest when the request's deadline has passed.
    std::unique_lock lock(waiting->mutex);
    waiting->answered.wait(lock, [&] { return waiting->decision.has_value(); });
    return *waiting->decision;
}

void claims_shell::settle(std::uint64_t claim, const core::claim_outcome& outcome)
{
    this->parts.loop.post([this, claim, outcome](core::instant now) {
        claims::effects wanted;
        claims::settle_claim(this->client, claim, outcome, now, wanted);
        this->perform(wanted);
    });
}

void claims_shell::share_memory()
{
    std::size_t used = 0;
    for (const auto& [shard, keeper] : this->keepers) {
        used += keeper.copy.table.bytes;
    }
    const auto budget = std::size_t{this->parts.settings.claim_memory_mb} << megabyte_bits;
    const auto rest = budget > used ? budget - used : 0;
    const auto bodies = std::size_t{this->parts.settings.claim_body_memory_mb} << megabyte_bits;
    for (auto& [shard, keeper] : this->keepers) {
        keeper.copy.table.limits.table_bytes = keeper.copy.table.bytes + rest;
        keeper.copy.table.limits.body_bytes = bodies / this->keepers.size();
    }
}

claims::keeper_counters claims_shell::keeper_counters() const
{
    claims::keeper_counters total;
    for (const auto& [shard, keeper] : this->keepers) {
        claims::add(total, keeper.counters);
    }
    return total;
}

claim_figures claims_shell::figures() const
{
    claim_figures sums{.unsettled = this->client.settling.size()};
    for (const auto& [shard, keeper] : this->keepers) {
        sums.shards_served += keeper.role == claims::keeper_role::serving ? 1 : 0;
        sums.claims += keeper.copy.table.claims.size();
        sums.bytes += keeper.copy.table.bytes + keeper.copy.table.body_bytes;
    }
    return sums;
}

claims::store_result claims_shell::run(const claims::store_call& call) const
{
    claims::store_result result{.number = call.number};
    if (call.is_swap) {
        const auto outcome = this->store.swap(call.key, call.expected, call.value);
        result.answered = outcome == platform::swap_outcome::applied;
        result.conflict = outcome == platform::swap_outcome::conflict;
    } else if (auto value = this->store.read(call.key)) {
        result.answered = true;
        result.modified_at = value->modified_at;
        result.value = std::move(value->value);
    }
    return result;
}

void claims_shell::run_store_calls()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        this->wake.wait(lock, [this] { return this->stopping || !this->calls.empty(); });
        if (this->stopping) {
            return;
        }
        const auto call = std::move(this->calls.front());
        this->calls.pop_front();
        lock.unlock();
        const auto result = this->run(call);
        this->parts.loop.post([this, shard = call.shard, result](core::instant now) {
            claims::effects wanted;
            claims::on_store_result(this->keeper_of(shard, now), result, now, wanted);
            this->perform(wanted);
        });
        lock.lock();
    }
}

} // namespace hibiscusfall::node::detail
