#include "exchange_limits.hpp"

#include "hibiscusfall/peers/domain_hubs.hpp"
#include "hibiscusfall/peers/peer_exchange.hpp"
#include "hibiscusfall/peers/report_pace.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

/// @file
/// @brief Which hubs the exchange uses, and whether its own one passes reports on.

namespace hibiscusfall::peers
{

namespace
{

/// An own hub that passed nothing on is tried again after this.
constexpr core::duration own_hub_rest = std::chrono::seconds{3};
/// Instances of a domain up to which each tells its neighbours itself: fewer datagrams than through a hub.
constexpr std::size_t most_direct = 4;

/// The instances of one failure domain, and where each of them takes datagrams.
struct known_domain {
    std::vector<hub_candidate> instances;
    std::vector<const core::address*> addresses;
};

/// Where the domain's hub takes datagrams; null for none.
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
    auto& own = domains[own_domain];
    own.instances.push_back({.name = this->entry.options.instance.view(),
                             .cpu_cores = this->options.cpu_cores,
                             .last_heard = now,
                             .leaving = this->entry.leaving});
    own.addresses.push_back(&this->options.listen_address);
    for (const auto& [address, each] : this->members) {
        if (each.name.empty() || each.last_heard + member_silence < now) {
            continue;
        }
        auto& domain = domains[each.domain];
        // Neighbours are heard through the own hub; whether that one works is watched by itself.
        domain.instances.push_back({.name = each.name,
                                    .cpu_cores = each.cpu_cores,
                                    .last_heard = each.domain == own_domain ? now : each.last_heard,
                                    .leaving = each.leaving,
                                    .failed_as_hub = each.excluded_as_hub_until > now});
        domain.addresses.push_back(&address);
    }
    domain_hubs hubs;
    for (const auto& [name, domain] : domains) {
        const bool direct = name == own_domain && domain.instances.size() <= most_direct;
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
    auto& used = this->members[chosen];
    if (now - std::max(used.hub_since, used.last_datagram) > own_hub_timeout(this->members.size())) {
        used.excluded_as_hub_until = now + own_hub_rest;
    }
}

} // namespace hibiscusfall::peers
