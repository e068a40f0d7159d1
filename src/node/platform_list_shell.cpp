#include "platform_list_shell.hpp"

#include "membership_shell.hpp"

#include "hibiscusfall/telemetry/log_event.hpp"

namespace hibiscusfall::node::detail
{

namespace
{

constexpr core::duration read_timeout = std::chrono::seconds{2};
constexpr std::chrono::milliseconds read_interval{1000};
constexpr core::duration spread_interval = std::chrono::milliseconds{500};
constexpr std::size_t members_told = 2;

} // namespace

void platform_list_shell::start(core::instant now)
{
    this->parts.hub.on<protocol::leaving_notice>(
        [this](const protocol::sender& /*from*/, const protocol::leaving_notice& message, core::instant at) {
            if (membership::on_notice(this->parts.leaving, message, at)) {
                this->endpoints_changed(at);
            }
        });
    this->parts.loop.timers().every(spread_interval, now, [this](core::instant at) { this->spread(at); });
    if (!this->parts.settings.instance_list) {
        return;
    }
    const auto port = platform::make_http_instance_list(this->parts.settings.instance_list, read_timeout);
    this->reader = std::thread([this, port] {
        std::unique_lock lock(this->mutex);
        while (!this->stopping) {
            lock.unlock();
            this->read_list(port);
            lock.lock();
            this->wake.wait_for(lock, read_interval, [this] { return this->stopping; });
        }
    });
}

void platform_list_shell::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_one();
    if (this->reader.joinable()) {
        this->reader.join();
    }
}

void platform_list_shell::read_list(const platform::instance_list_port& port)
{
    std::string reason;
    auto entries = port.read(reason);
    if (!entries) {
        telemetry::write(telemetry::log_event{"instance_list_unread"}.with("reason", reason));
        return;
    }
    this->parts.loop.post([this, list = std::move(*entries)](core::instant now) { this->take(list, now); });
}

void platform_list_shell::take(const std::vector<platform::listed_entry>& entries, core::instant now)
{
    std::vector<membership::listed_instance> instances;
    std::vector<core::endpoint_id> endpoints;
    for (const auto& entry : entries) {
        if (!entry.endpoint) {
            instances.push_back(
                {.id = core::instance_id{entry.id}, .inner = entry.inner, .leaving = entry.leaving});
        } else if (entry.leaving) {
            endpoints.emplace_back(entry.id);
        }
    }
    take_platform_list(this->parts, instances, now);
    if (membership::on_listed(this->parts.leaving, endpoints, now)) {
        this->endpoints_changed(now);
        this->spread(now);
    }
}

void platform_list_shell::spread(core::instant now)
{
    if (membership::on_tick(this->parts.leaving, now)) {
        this->endpoints_changed(now);
    }
    if (this->parts.leaving.until.empty()) {
        return;
    }
    for (const auto& member : membership::pick_live(this->parts.members, members_told)) {
        this->parts.hub.send(member.id, membership::make_notice(this->parts.leaving, now));
    }
}

void platform_list_shell::endpoints_changed(core::instant now)
{
    std::string names;
    for (const auto& [id, until] : this->parts.leaving.until) {
        names += (names.empty() ? "" : ",") + id.str();
    }
    telemetry::write(telemetry::log_event{"endpoints_leaving"}.with("endpoints", names));
    for (const auto& call : this->parts.on_configuration_changed) {
        call(now);
    }
}

} // namespace hibiscusfall::node::detail
