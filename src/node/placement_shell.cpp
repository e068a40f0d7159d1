#include "placement_shell.hpp"

#include "hibiscusfall/operators/http_call.hpp"
#include "hibiscusfall/scheduling/rendezvous.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace hibiscusfall::node::detail
{

namespace
{

using clock = std::chrono::steady_clock;

constexpr core::duration tick_interval = std::chrono::milliseconds{200};
constexpr unsigned http_ok = 200;
constexpr unsigned http_conflict = 409;

std::string_view name_of(placement::order_outcome outcome) noexcept
{
    switch (outcome) {
    case placement::order_outcome::done:
        return "done";
    case placement::order_outcome::lost:
        return "lost";
    case placement::order_outcome::stale:
        return "stale";
    }
    return "lost";
}

std::string_view name_of(placement::order_kind kind) noexcept
{
    return kind == placement::order_kind::load ? "load" : "role";
}

std::string key_of(const core::failure_domain_id& domain)
{
    return "hibiscusfall/placement/" + domain.str();
}

void log_order(const placement::order& given, std::string_view outcome, std::string_view reason)
{
    telemetry::write_decision(telemetry::log_event{"placement_order"}
                                  .with("endpoint", given.endpoint.view())
                                  .with("order", name_of(given.subject.kind))
                                  .with("subject", given.subject.name)
                                  .with("fencing", given.fencing)
                                  .with("outcome", outcome)
                                  .with("reason", reason));
}

} // namespace

order_port make_http_order_port()
{
    constexpr std::chrono::milliseconds timeout{3000};
    return {.give = [timeout](const placement::order& given, std::string& reason) {
        const auto* subject = given.subject.kind == placement::order_kind::load ? "model" : "role";
        const nlohmann::json body{{"order", name_of(given.subject.kind)},
                                  {subject, given.subject.name},
                                  {"fencing", given.fencing}};
        const auto answer = operators::perform(
            {.to = given.to, .path = "/admin/order", .token = {}, .body = body.dump(), .timeout = timeout},
            reason);
        if (!answer) {
            return placement::order_outcome::lost;
        }
        if (answer->status == http_ok) {
            return placement::order_outcome::done;
        }
        reason = "status " + std::to_string(answer->status);
        return answer->status == http_conflict ? placement::order_outcome::stale
                                               : placement::order_outcome::lost;
    }};
}

placement_shell::placement_shell(node_core& given,
                                 std::shared_ptr<platform::store_counters> counters,
                                 order_port edge)
    : parts(given), store(platform::store_options{.store = given.settings.store,
                                                  .timeout = std::chrono::seconds{1},
                                                  .counters = std::move(counters)}),
      port(std::move(edge))
{
    this->state.options.domain = given.settings.domain;
    this->state.options.loads_per_minute = given.settings.loads_per_minute;
    placement::set_lease_length(this->state.options, given.settings.placement_lease);
}

void placement_shell::start(core::instant now)
{
    if (this->state.options.loads_per_minute == 0) {
        return;
    }
    this->started = true;
    this->store_calls.start();
    this->orders.start();
    this->parts.on_members_changed.emplace_back([this](core::instant /*at*/) { this->take_members(); });
    this->parts.on_configuration_changed.emplace_back([this](core::instant /*at*/) {
        if (const auto document = this->parts.configuration.current()) {
            placement::on_configuration(this->state, *document);
        }
    });
    this->parts.loop.timers().every(tick_interval, now, [this](core::instant at) {
        placement::placement_effects wanted;
        placement::on_tick(this->state, at, wanted);
        this->perform(wanted);
    });
    this->take_members();
}

void placement_shell::stop()
{
    if (!this->started) {
        return;
    }
    this->orders.stop();
    this->store_calls.stop();
    if (this->lease != platform::lease_id::none) {
        this->store.revoke_lease(this->lease);
    }
}

void placement_shell::take_members()
{
    std::vector<core::instance_id> candidates;
    for (const auto& member : membership::live_members(this->parts.members)) {
        if (member.domain == this->parts.settings.domain) {
            candidates.push_back(member.id);
        }
    }
    const auto role = "placement/" + this->parts.settings.domain.str();
    placement::placement_effects wanted;
    placement::on_candidate(
        this->state, scheduling::choose_holder(candidates, role) == this->parts.self.id, wanted);
    this->perform(wanted);
}

void placement_shell::perform(const placement::placement_effects& wanted)
{
    if (wanted.release) {
        this->store_calls.post([this] { this->release(); });
    }
    if (wanted.acquire) {
        this->store_calls.post([this] { this->acquire(); });
    }
    if (wanted.renew) {
        this->store_calls.post([this] { this->renew(); });
    }
    if (wanted.give) {
        this->orders.post([this, given = *wanted.give] { this->give(given); });
    }
}

void placement_shell::acquire()
{
    const auto asked = clock::now();
    const auto fail = [this] {
        this->parts.loop.post([this](core::instant now) { placement::on_acquire_failed(this->state, now); });
    };
    std::string reason;
    const auto key = key_of(this->parts.settings.domain);
    if (const auto kept = this->store.read(key, reason); !kept || kept->modified_at != 0) {
        fail(); // Somebody holds it, or the store is away.
        return;
    }
    const auto length = std::chrono::duration_cast<std::chrono::seconds>(this->state.options.lease_length);
    const auto granted = this->store.grant_lease(length, reason);
    if (granted == platform::lease_id::none) {
        fail();
        return;
    }
    const auto value = this->parts.self.id.str() + "/" + std::to_string(this->parts.self.incarnation) + "/" +
                       std::to_string(++this->attempt);
    const auto written = this->store.write_under_lease(key, 0, value, granted, reason);
    std::int64_t fencing = written.revision;
    if (written.outcome == platform::swap_outcome::unknown) {
        const auto kept = this->store.read(key, reason);
        fencing = kept && kept->value == value ? kept->modified_at : 0;
    }
    if (fencing == 0) {
        this->store.revoke_lease(granted);
        fail();
        return;
    }
    this->lease = granted;
    this->report_acquired(fencing, asked);
}

void placement_shell::report_acquired(std::int64_t fencing, core::instant asked)
{
    telemetry::write(telemetry::log_event{"placement_lease_acquired"}
                         .with("failure_domain", this->parts.settings.domain.view())
                         .with("fencing", fencing));
    this->parts.loop.post([this, fencing, asked](core::instant now) {
        placement::on_acquired(this->state, static_cast<std::uint64_t>(fencing), asked, now);
        if (!this->state.candidate) {
            placement::placement_effects wanted;
            placement::on_candidate(this->state, false, wanted);
            this->perform(wanted);
        }
    });
}

void placement_shell::renew()
{
    const auto asked = clock::now();
    std::string reason;
    const auto held = this->lease == platform::lease_id::none ? std::optional{false}
                                                              : this->store.renew_lease(this->lease, reason);
    if (held.has_value() && !*held) {
        this->lease = platform::lease_id::none;
    }
    this->parts.loop.post([this, held, asked](core::instant now) {
        const bool before = this->state.lease.has_value();
        placement::on_renewed(this->state, held, asked, now);
        if (before && !this->state.lease) {
            telemetry::write(telemetry::log_event{"placement_lease_lost"}.with(
                "failure_domain", this->parts.settings.domain.view()));
        }
    });
}

void placement_shell::release()
{
    if (const auto held = std::exchange(this->lease, platform::lease_id::none);
        held != platform::lease_id::none) {
        this->store.revoke_lease(held);
    }
}

void placement_shell::give(const placement::order& given)
{
    std::string reason;
    auto outcome = placement::order_outcome::lost;
    if (clock::now() < given.valid_until) {
        outcome = this->port.give(given, reason);
    } else {
        reason = "its lease may have ended";
    }
    log_order(given, name_of(outcome), reason);
    this->parts.loop.post([this, given, outcome](core::instant now) {
        placement::placement_effects wanted;
        placement::on_order_ended(this->state, given.endpoint, given.fencing, outcome, now, wanted);
        this->perform(wanted);
    });
}

} // namespace hibiscusfall::node::detail
