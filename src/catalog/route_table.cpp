#include "hibiscusfall/catalog/route_table.hpp"

#include <algorithm>
#include <cctype>

namespace hibiscusfall::catalog
{

namespace
{

std::string normalized_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string lower{host};
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return lower;
}

} // namespace

void index_routes(route_table& table)
{
    table.routes_by_host.clear();
    for (std::size_t i = 0; i < table.routes.size(); ++i) {
        table.routes_by_host[normalized_host(table.routes[i].host)].push_back(i);
    }
    for (auto& [host, indices] : table.routes_by_host) {
        std::stable_sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
            return table.routes[left].prefix.size() > table.routes[right].prefix.size();
        });
    }
}

const route* find_route(const route_table& table, std::string_view host, std::string_view path)
{
    const auto found = table.routes_by_host.find(normalized_host(host));
    if (found == table.routes_by_host.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    for (const auto position : found->second) {
        if (path.starts_with(table.routes[position].prefix)) {
            return &table.routes[position];
        }
    }
    return nullptr;
}

const team* find_team(const route_table& table, std::string_view key)
{
    const auto found = table.api_keys.find(std::string{key});
    return found == table.api_keys.end() ? nullptr : &table.teams[found->second];
}

key_check check_key(const route_table& table, const route& target, std::string_view key)
{
    if (target.anonymous || table.anonymous) {
        return {.accepted = true};
    }
    const auto* owner = find_team(table, key);
    return {.accepted = owner != nullptr, .owner = owner};
}

const engine_properties* find_engine(const route_table& table, const core::service_id& service)
{
    const auto found = table.services.find(service);
    return found == table.services.end() || !found->second.engine ? nullptr : &*found->second.engine;
}

bool has_weight(const route& source)
{
    return std::any_of(source.services.begin(), source.services.end(), [](const service_weight& each) {
        return each.weight > 0;
    });
}

const core::service_id& choose_service(const route& source, std::uint64_t hash)
{
    double total_weight = 0;
    for (const auto& candidate : source.services) {
        total_weight += candidate.weight;
    }
    constexpr std::uint64_t resolution = 1U << 20U;
    double position = total_weight * static_cast<double>(hash % resolution) / static_cast<double>(resolution);
    for (const auto& candidate : source.services) {
        if (position < candidate.weight) {
            return candidate.service;
        }
        position -= candidate.weight;
    }
    return source.services.back().service;
}

} // namespace hibiscusfall::catalog
