#include "hibiscusfall/scheduling/rendezvous.hpp"
#include "hibiscusfall/scheduling/slot_client.hpp"

#include <set>

namespace hibiscusfall::scheduling
{

namespace
{

using instances_by_domain = std::map<core::failure_domain_id, std::vector<core::instance_id>>;

core::instance_id holder_of(const instances_by_domain& instances, const scheduler_role& role)
{
    const auto found = instances.find(role.domain);
    if (found == instances.end()) {
        return {};
    }
    const auto name =
        "scheduler/" + role.domain.str() + "/" + role.service.str() + "/" + std::to_string(role.shard);
    return choose_holder(found->second, name);
}

using endpoint_counts = std::map<std::pair<core::service_id, core::failure_domain_id>, std::size_t>;

endpoint_counts count_endpoints(const configuration::document& document)
{
    endpoint_counts counts;
    for (const auto& [id, endpoint] : document.endpoints) {
        ++counts[{endpoint.service, endpoint.domain}];
    }
    return counts;
}

void place_endpoints(scheduling_topology& topology,
                     const configuration::document& document,
                     const endpoint_counts& counts,
                     const std::vector<core::instance_id>& everyone,
                     const std::vector<core::instance_id>& neighbours,
                     const protocol::sender& self,
                     const core::failure_domain_id& domain)
{
    for (const auto& [id, endpoint] : document.endpoints) {
        const auto shards = count_shards(counts.at({endpoint.service, endpoint.domain}));
        const bool service_is_here = counts.contains({endpoint.service, domain});
        auto& place = topology.endpoints[id];
        place.role = {
            .service = endpoint.service, .domain = endpoint.domain, .shard = choose_shard(id, shards)};
        place.slots = endpoint.draining ? 0 : endpoint.slots;
        if (endpoint.domain == domain) {
            place.part = part_of_slots(neighbours, self.id, id, place.slots);
        } else if (!service_is_here) {
            place.part = part_of_slots(everyone, self.id, id, place.slots);
        }
    }
}

} // namespace

scheduling_topology make_topology(const configuration::document& document,
                                  const std::vector<candidate>& candidates,
                                  const protocol::sender& self,
                                  const core::failure_domain_id& domain)
{
    instances_by_domain instances;
    std::vector<core::instance_id> everyone;
    for (const auto& entry : candidates) {
        instances[entry.domain].push_back(entry.id);
        everyone.push_back(entry.id);
    }
    std::set<core::failure_domain_id> domains;
    for (const auto& [id, members] : instances) {
        domains.insert(id);
    }
    const auto counts = count_endpoints(document);
    scheduling_topology topology;
    for (const auto& [service, entry] : document.services) {
        for (const auto& place : domains) {
            const auto found = counts.find({service, place});
            const auto shards = count_shards(found == counts.end() ? 0 : found->second);
            if (place == domain) {
                topology.shards[service] = shards;
            }
            for (std::uint32_t shard = 0; shard < shards; ++shard) {
                const scheduler_role role{.service = service, .domain = place, .shard = shard};
                topology.holders[role] = holder_of(instances, role);
            }
        }
    }
    place_endpoints(topology, document, counts, everyone, instances[domain], self, domain);
    return topology;
}

} // namespace hibiscusfall::scheduling
