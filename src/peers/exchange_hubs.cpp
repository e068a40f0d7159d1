#include "exchange_limits.hpp"

#include "hibiscusfall/peers/domain_hubs.hpp"
#include "hibiscusfall/peers/peer_exchange.hpp"
#include "hibiscusfall/peers/report_pace.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

/// @file
/// @brief Choice of the hubs that the exchange sends to, and detection of a failed hub in the own domain.

namespace hibiscusfall::peers
{

namespace
{

/// Time for which an instance of the own domain that forwarded nothing is not chosen as the hub.
constexpr core::duration hub_exclusion_time = std::chrono::seconds{3};
/// Up to this number of instances in the own domain each sends to the others directly, which takes fewer
/// datagrams than through a hub.
constexpr std::size_t max_direct_instances = 4;

/// The instances of one failure domain, and the datagram address of each.
struct known_domain {
    std::vector<hub_candidate> instances;
    std::vector<const core::address*> addresses;
};

/// Datagram address of the domain's hub; null if there is none.
const core::address* hub_address(const known_domain& domain)
{
    const auto chosen = choose_hub(domain.instances);
    return chosen.has_value() ? domain.addresses[*chosen] : nullptr;
}

} // namespace

peer_exchange::domain_hubs peer_exchange::choose_hubs(core::instant now) const
{
    std::map<std::string_view, known_domain> domains;
    const auto own_domain = this->entry.options.domain.view();
    auto& local_domain = domains[own_domain];
    local_domain.instances.push_back({.name = this->entry.options.instance.view(),
                                      .cpu_cores = this->options.cpu_cores,
                                      .last_heard = now,
                                      .leaving = this->entry.shutting_down});
    local_domain.addresses.push_back(&this->options.listen_address);
    for (const auto& [address, known] : this->members) {
        if (known.name.empty() || known.last_heard + member_timeout < now) {
            continue;
        }
        auto& domain = domains[known.domain];
        // Reports from the own domain come through its hub, so their age says nothing about their senders;
        // check_own_hub() detects a failed hub.
        domain.instances.push_back({.name = known.name,
                                    .cpu_cores = known.cpu_cores,
                                    .last_heard = known.domain == own_domain ? now : known.last_heard,
                                    .leaving = known.leaving,
                                    .failed_as_hub = known.excluded_as_hub_until > now});
        domain.addresses.push_back(&address);
    }
    domain_hubs hubs;
    for (const auto& [name, domain] : domains) {
        const bool direct = name == own_domain && domain.instances.size() <= max_direct_instances;
        if (const auto* hub = direct ? nullptr : hub_address(domain)) {
            hubs.emplace(name, hub);
        }
    }
    return hubs;
}

void peer_exchange::check_own_hub(const core::address* hub, core::instant now)
{
    const bool is_self = hub == nullptr || *hub == this->options.listen_address;
    const core::address chosen = is_self ? core::address{} : *hub;
    if (chosen != this->own_hub) {
        this->own_hub = chosen;
        telemetry::write(telemetry::log_event{"hub"}
                             .with("domain", this->entry.options.domain.view())
                             .with("hub", is_self ? "none or itself" : core::to_string(chosen)));
        if (!is_self) {
            this->members[chosen].hub_since = now;
        }
    }
    if (is_self) {
        return;
    }
    auto& hub_member = this->members[chosen];
    if (now - std::max(hub_member.hub_since, hub_member.last_datagram) >
        own_hub_timeout(this->members.size())) {
        hub_member.excluded_as_hub_until = now + hub_exclusion_time;
    }
}

} // namespace hibiscusfall::peers
