#include "hibiscusfall/configuration/change.hpp"

#include "change_checks.hpp"

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace hibiscusfall::configuration
{

namespace
{

using namespace detail;

/// The first refusal of several checks that were made.
verdict first_of(std::initializer_list<verdict> checks)
{
    const auto found =
        std::find_if(checks.begin(), checks.end(), [](const verdict& check) { return check.has_value(); });
    return found == checks.end() ? std::nullopt : *found;
}

template <class value, class entries, class id>
verdict with_entry(std::string_view kind, entries& from, const id& name, value call)
{
    const auto found = from.find(name);
    if (found == from.end()) {
        return refuse(named(kind, name), " does not exist");
    }
    return call(found->second);
}

template <class entries, class id>
verdict erase_entry(std::string_view kind, entries& from, const id& name)
{
    if (from.erase(name) == 0) {
        return refuse(named(kind, name), " does not exist");
    }
    return std::nullopt;
}

template <class type>
void take(type& target, const std::optional<type>& wanted)
{
    if (wanted) {
        target = *wanted;
    }
}

verdict apply_to(const create_team& wanted, document& target)
{
    if (target.find(wanted.id) != nullptr) {
        return refuse(named("team", wanted.id), " exists already");
    }
    if (auto refused = first_of({check_name("team", wanted.id),
                                 check_share(wanted.id, wanted.share),
                                 check_home(target, wanted.id, wanted.home_domain),
                                 check_token(target, wanted.id, wanted.token_hash)})) {
        return refused;
    }
    target.teams[wanted.id] = {.id = wanted.id,
                               .share = wanted.share,
                               .token_hash = wanted.token_hash,
                               .home_domain = wanted.home_domain};
    return std::nullopt;
}

verdict apply_to(const alter_team& wanted, document& target)
{
    return with_entry("team", target.teams, wanted.id, [&](team& entry) -> verdict {
        auto next = entry;
        take(next.share, wanted.share);
        take(next.token_hash, wanted.token_hash);
        take(next.home_domain, wanted.home_domain);
        auto refused =
            first_of({check_share(wanted.id, next.share), check_token(target, wanted.id, next.token_hash)});
        if (!refused && wanted.home_domain) {
            refused = check_home(target, wanted.id, next.home_domain);
        }
        if (!refused) {
            entry = std::move(next);
        }
        return refused;
    });
}

verdict apply_to(const remove_team& wanted, document& target)
{
    return erase_entry("team", target.teams, wanted.id);
}

verdict apply_to(const declare_service& wanted, document& target)
{
    if (target.find(wanted.id) != nullptr) {
        return refuse(named("service", wanted.id), " exists already");
    }
    const service declared{.id = wanted.id,
                           .kind = wanted.kind,
                           .repeatable = wanted.repeatable,
                           .worth_per_request = wanted.worth_per_request,
                           .worth_per_token = wanted.worth_per_token,
                           .resume_elsewhere = wanted.resume_elsewhere};
    auto refused = first_of({check_name("service", wanted.id),
                             check_worth(wanted.id, "worth", wanted.worth_per_request),
                             check_worth(wanted.id, "token worth", wanted.worth_per_token),
                             check_resume(declared)});
    if (!refused) {
        target.services[wanted.id] = declared;
    }
    return refused;
}

verdict apply_to(const alter_service& wanted, document& target)
{
    return with_entry("service", target.services, wanted.id, [&](service& entry) -> verdict {
        auto next = entry;
        take(next.repeatable, wanted.repeatable);
        take(next.worth_per_request, wanted.worth_per_request);
        take(next.worth_per_token, wanted.worth_per_token);
        take(next.resume_elsewhere, wanted.resume_elsewhere);
        auto refused = first_of({check_worth(wanted.id, "worth", next.worth_per_request),
                                 check_worth(wanted.id, "token worth", next.worth_per_token),
                                 check_resume(next)});
        if (!refused) {
            entry = next;
        }
        return refused;
    });
}

verdict set_draining(const core::service_id& id, bool draining, document& target)
{
    return with_entry("service", target.services, id, [draining](service& entry) -> verdict {
        entry.draining = draining;
        return std::nullopt;
    });
}

verdict set_draining(const core::endpoint_id& id, bool draining, document& target)
{
    return with_entry("endpoint", target.endpoints, id, [draining](endpoint& entry) -> verdict {
        entry.draining = draining;
        return std::nullopt;
    });
}

verdict apply_to(const drain_service& wanted, document& target)
{
    return set_draining(wanted.id, true, target);
}

verdict apply_to(const undrain_service& wanted, document& target)
{
    return set_draining(wanted.id, false, target);
}

verdict apply_to(const remove_service& wanted, document& target)
{
    for (const auto& [id, entry] : target.endpoints) {
        if (entry.service == wanted.id) {
            return refuse(named("service", wanted.id), " is in use by ", named("endpoint", id));
        }
    }
    return erase_entry("service", target.services, wanted.id);
}

verdict apply_to(const declare_endpoint& wanted, document& target)
{
    if (target.find(wanted.id) != nullptr) {
        return refuse(named("endpoint", wanted.id), " exists already");
    }
    if (target.find(wanted.service) == nullptr) {
        return refuse(
            named("endpoint", wanted.id), ": ", named("service", wanted.service), " does not exist");
    }
    endpoint declared{.id = wanted.id,
                      .service = wanted.service,
                      .domain = wanted.domain,
                      .address = wanted.address,
                      .slots = wanted.slots,
                      .checks_fencing = wanted.checks_fencing,
                      .draining = false,
                      .role = wanted.role,
                      .models = wanted.models};
    auto refused = first_of({check_name("endpoint", wanted.id),
                             check_name("failure domain", wanted.domain),
                             check_address(target, wanted.id, wanted.address),
                             check_slots(wanted.id, wanted.slots),
                             check_orders(target, declared)});
    if (!refused) {
        target.endpoints[wanted.id] = std::move(declared);
    }
    return refused;
}

verdict apply_to(const alter_endpoint& wanted, document& target)
{
    return with_entry("endpoint", target.endpoints, wanted.id, [&](endpoint& entry) -> verdict {
        auto next = entry;
        take(next.address, wanted.address);
        take(next.slots, wanted.slots);
        take(next.checks_fencing, wanted.checks_fencing);
        next.role = wanted.role ? wanted.role : next.role;
        take(next.models, wanted.models);
        auto refused = first_of({check_address(target, wanted.id, next.address),
                                 check_slots(wanted.id, next.slots),
                                 check_orders(target, next)});
        if (!refused) {
            entry = std::move(next);
        }
        return refused;
    });
}

verdict apply_to(const drain_endpoint& wanted, document& target)
{
    return set_draining(wanted.id, true, target);
}

verdict apply_to(const undrain_endpoint& wanted, document& target)
{
    return set_draining(wanted.id, false, target);
}

verdict apply_to(const remove_endpoint& wanted, document& target)
{
    return erase_entry("endpoint", target.endpoints, wanted.id);
}

void record(const change_request& request, document& target)
{
    target.history.push_back({.change_id = request.change_id,
                              .revision = target.revision,
                              .command = request.command.substr(0, max_command_bytes),
                              .author = request.author,
                              .unix_seconds = request.unix_seconds});
    if (target.history.size() > max_history) {
        const auto surplus = static_cast<std::ptrdiff_t>(target.history.size() - max_history);
        target.history.erase(target.history.begin(), target.history.begin() + surplus);
    }
}

} // namespace

std::optional<refusal> apply(const change& wanted, document& target)
{
    auto refused = std::visit([&target](const auto& body) { return apply_to(body, target); }, wanted);
    if (!refused) {
        target.index_tokens();
    }
    return refused;
}

submission submit(const change_request& request, document& target)
{
    if (auto refused = detail::check_request(request)) {
        return {.refused = std::move(refused)};
    }
    if (const auto* known = find_record(target, request.change_id)) {
        return {.refused = std::nullopt, .repeated = true, .revision = known->revision};
    }
    auto next = target;
    if (auto refused = apply(request.wanted, next)) {
        return {.refused = std::move(refused)};
    }
    ++next.revision;
    record(request, next);
    if (const auto bytes = to_json(next).size(); bytes > max_document_bytes) {
        return {.refused = detail::refuse("the configuration would have ",
                                          std::to_string(bytes),
                                          " bytes; the store takes at most ",
                                          std::to_string(max_document_bytes))};
    }
    target = std::move(next);
    return {.refused = std::nullopt, .repeated = false, .revision = target.revision};
}

const change_record* find_record(const document& target, std::string_view change_id) noexcept
{
    const auto found = std::find_if(target.history.rbegin(), target.history.rend(), [&](const auto& entry) {
        return entry.change_id == change_id;
    });
    return found == target.history.rend() ? nullptr : &*found;
}

} // namespace hibiscusfall::configuration
