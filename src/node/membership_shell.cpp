#include "membership_shell.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

#include <utility>

namespace hibiscusfall::node::detail
{

namespace
{

void perform(node_core& parts, membership::effects&& wanted, core::instant now)
{
    for (auto& message : wanted.messages) {
        parts.hub.send(message.to, std::move(message.body));
    }
    for (const auto& change : wanted.transitions) {
        telemetry::write(telemetry::log_event{"member"}
                             .with("member", change.id.view())
                             .with("status", protocol::to_string(change.status))
                             .with("incarnation", change.incarnation));
    }
    if (wanted.outdated_by && parts.start.on_outdated) {
        telemetry::write(telemetry::log_event{"start_outdated"}
                             .with("incarnation", parts.self.incarnation)
                             .with("earlier", *wanted.outdated_by));
        std::exchange(parts.start.on_outdated, nullptr)(*wanted.outdated_by);
    }
    if (wanted.live_changed) {
        for (const auto& call : parts.on_members_changed) {
            call(now);
        }
    }
    for (const auto& notice : wanted.newer_revisions) {
        for (const auto& call : parts.on_newer_revision) {
            call(notice, now);
        }
    }
}

/// Subscribes one kind of message to the event function that takes it.
template <class type, class function>
void subscribe(node_core& parts, function event)
{
    parts.hub.on<type>([&parts, event](const protocol::sender& from, const type& message, core::instant now) {
        membership::effects wanted;
        event(from.id, message, now, wanted);
        perform(parts, std::move(wanted), now);
    });
}

} // namespace

void start_membership(node_core& parts, core::instant now)
{
    auto& state = parts.members;
    using membership::effects;
    subscribe<protocol::heartbeat>(
        parts, [&state](const auto& /*from*/, const auto& message, core::instant at, effects& out) {
            membership::on_heartbeat(state, message, at, out);
        });
    subscribe<protocol::probe_request>(
        parts, [&state](const auto& from, const auto& message, core::instant at, effects& out) {
            membership::on_probe_request(state, from, message, at, out);
        });
    subscribe<protocol::probe_result>(
        parts, [&state](const auto& /*from*/, const auto& message, core::instant /*at*/, effects& /*out*/) {
            membership::on_probe_result(state, message);
        });
    subscribe<protocol::member_page_request>(
        parts, [&state](const auto& from, const auto& message, core::instant /*at*/, effects& out) {
            membership::on_page_request(state, from, message, out);
        });
    subscribe<protocol::member_page>(
        parts, [&state](const auto& /*from*/, const auto& message, core::instant at, effects& out) {
            membership::on_page(state, message, at, out);
        });
    parts.loop.timers().every(state.options.tick_interval, now, [&parts](core::instant at) {
        membership::effects wanted;
        membership::on_tick(parts.members, at, wanted);
        perform(parts, std::move(wanted), at);
    });
}

void announce_leaving(node_core& parts)
{
    const auto now = std::chrono::steady_clock::now();
    membership::effects wanted;
    membership::leave(parts.members, now, wanted);
    perform(parts, std::move(wanted), now);
}

void take_platform_list(node_core& parts,
                        std::span<const membership::listed_instance> list,
                        core::instant now)
{
    membership::effects wanted;
    membership::on_platform_list(parts.members, list, now, wanted);
    perform(parts, std::move(wanted), now);
}

} // namespace hibiscusfall::node::detail
