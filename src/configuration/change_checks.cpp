#include "change_checks.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace hibiscusfall::configuration::detail
{

namespace
{

constexpr std::size_t max_change_id_bytes = 64;
constexpr std::size_t max_author_bytes = 64;

std::string number(double value)
{
    auto text = std::to_string(value);
    while (text.find('.') != std::string::npos && (text.ends_with('0') || text.ends_with('.'))) {
        const bool last = text.ends_with('.');
        text.pop_back();
        if (last) {
            break;
        }
    }
    return text;
}

verdict check_models(const endpoint& wanted)
{
    if (wanted.models.size() > max_models) {
        return refuse(named("endpoint", wanted.id),
                      ": ",
                      std::to_string(wanted.models.size()),
                      " models are more than ",
                      std::to_string(max_models));
    }
    std::set<core::service_id> seen{wanted.service};
    for (const auto& model : wanted.models) {
        if (auto refused = check_name("model", model)) {
            return refused;
        }
        if (!seen.insert(model).second) {
            return refuse(named("endpoint", wanted.id), ": ", named("model", model), " is named twice");
        }
    }
    return std::nullopt;
}

} // namespace

verdict check_share(const core::team_id& id, double share)
{
    if (std::isfinite(share) && share > 0 && share <= max_share) {
        return std::nullopt;
    }
    return refuse(
        named("team", id), ": share ", number(share), " is not above 0 and at most ", number(max_share));
}

verdict check_worth(const core::service_id& id, std::string_view what, double worth)
{
    if (std::isfinite(worth) && worth >= 0 && worth <= max_worth) {
        return std::nullopt;
    }
    return refuse(
        named("service", id), ": ", what, " ", number(worth), " is not from 0 to ", number(max_worth));
}

verdict check_slots(const core::endpoint_id& id, std::uint32_t slots)
{
    if (slots >= 1 && slots <= max_slots) {
        return std::nullopt;
    }
    return refuse(named("endpoint", id),
                  ": slots ",
                  std::to_string(slots),
                  " is not from 1 to ",
                  std::to_string(max_slots));
}

verdict check_home(const document& target, const core::team_id& id, const core::failure_domain_id& home)
{
    if (auto refused = check_name("home failure domain", home)) {
        return refused;
    }
    const auto holds = [&](const auto& item) { return item.second.domain == home; };
    if (target.endpoints.empty() || std::any_of(target.endpoints.begin(), target.endpoints.end(), holds)) {
        return std::nullopt;
    }
    return refuse(named("team", id), ": ", named("home failure domain", home), " has no declared endpoint");
}

verdict check_token(const document& target, const core::team_id& id, const std::string& token_hash)
{
    if (token_hash.empty()) {
        return refuse(named("team", id), ": a token is required");
    }
    for (const auto& [other, value] : target.teams) {
        if (other != id && value.token_hash == token_hash) {
            return refuse(named("team", id), ": its token is in use by ", named("team", other));
        }
    }
    return std::nullopt;
}

verdict check_address(const document& target, const core::endpoint_id& id, const core::address& address)
{
    if (!address || address.host.empty()) {
        return refuse(named("endpoint", id), ": an address such as 10.0.0.1:8080 is required");
    }
    for (const auto& [other, value] : target.endpoints) {
        if (other != id && value.address == address) {
            return refuse(named("endpoint", id),
                          ": address ",
                          core::to_string(address),
                          " is in use by ",
                          named("endpoint", other));
        }
    }
    return std::nullopt;
}

verdict check_resume(const service& wanted)
{
    if (!wanted.resume_elsewhere || (wanted.kind == service_kind::model && wanted.repeatable)) {
        return std::nullopt;
    }
    return refuse(named("service", wanted.id),
                  ": resume_elsewhere needs a model service whose requests may be run again");
}

verdict check_orders(const document& target, const endpoint& wanted)
{
    const auto* service = target.find(wanted.service);
    const bool plain = service != nullptr && service->kind == service_kind::plain;
    if (plain && (wanted.role || !wanted.models.empty())) {
        return refuse(named("endpoint", wanted.id),
                      ": a role and models need a model service; ",
                      named("service", wanted.service),
                      " is plain");
    }
    return check_models(wanted);
}

verdict check_request(const change_request& request)
{
    if (request.change_id.empty() || request.change_id.size() > max_change_id_bytes) {
        return refuse("change id \"", request.change_id, "\" is not 1 to 64 characters long");
    }
    if (request.author.size() > max_author_bytes) {
        return refuse("author \"", request.author, "\" is longer than 64 characters");
    }
    return std::nullopt;
}

} // namespace hibiscusfall::configuration::detail
