#include "hibiscusfall/catalog/evacuations.hpp"

#include <utility>

namespace hibiscusfall::catalog
{

namespace
{

/// Takes a position that is not older than the known one. At the first one of a later era, keeps what is
/// evacuated.
bool advance(evacuations& known, store_position position, core::instant now)
{
    if (position < known.position) {
        return false;
    }
    if (known.position != store_position{} && position.era > known.position.era) {
        for (const auto& domain : known.domains) {
            if (known.kept_until.size() < max_evacuations || known.kept_until.contains(domain)) {
                known.kept_until.insert_or_assign(domain, now + settling_time);
            }
        }
    }
    known.position = position;
    return true;
}

void add(std::set<core::failure_domain_id>& domains, const core::failure_domain_id& domain)
{
    if (domains.size() < max_evacuations) {
        domains.insert(domain);
    }
}

/// @returns Whether the set of domains changed.
bool update_domains(evacuations& known)
{
    auto domains = known.ordered;
    for (const auto& each : known.kept_until) {
        domains.insert(each.first);
    }
    return std::exchange(known.domains, domains) != domains;
}

} // namespace

bool apply_snapshot(evacuations& known,
                    const std::set<core::failure_domain_id>& domains,
                    store_position position,
                    core::instant now)
{
    if (!advance(known, position, now)) {
        return false;
    }
    known.ordered.clear();
    for (const auto& domain : domains) {
        add(known.ordered, domain);
    }
    return update_domains(known);
}

bool apply_changes(evacuations& known,
                   std::span<const evacuation_change> changes,
                   store_position position,
                   core::instant now)
{
    if (!advance(known, position, now)) {
        return false;
    }
    for (const auto& change : changes) {
        if (change.begun) {
            add(known.ordered, change.domain);
        } else {
            known.ordered.erase(change.domain);
            known.kept_until.erase(change.domain);
        }
    }
    return update_domains(known);
}

bool apply_deadlines(evacuations& known, core::instant now)
{
    const auto ended =
        std::erase_if(known.kept_until, [now](const auto& each) { return now >= each.second; });
    return ended > 0 && update_domains(known);
}

} // namespace hibiscusfall::catalog
