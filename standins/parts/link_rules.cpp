#include "standins/parts/link_rules.hpp"

#include <algorithm>

namespace hibiscusfall::standins
{

namespace
{

constexpr double microseconds_per_ms = 1000;

std::string group_of(const link_rules& all, const std::string& place)
{
    const auto found = all.groups.find(place);
    return found == all.groups.end() ? place : found->second;
}

bool is_meant(const std::string& pattern, const std::string& place, const std::string& group)
{
    return pattern == "*" || pattern == place || pattern == group;
}

} // namespace

link_rule rule_for(const link_rules& all, const std::string& from, const std::string& to)
{
    link_rule result{.from = from, .to = to};
    const auto from_group = group_of(all, from);
    const auto to_group = group_of(all, to);
    for (const auto& rule : all.rules) {
        if (!is_meant(rule.from, from, from_group) || !is_meant(rule.to, to, to_group) ||
            (rule.across && from_group == to_group)) {
            continue;
        }
        result.delay = std::max(result.delay, rule.delay);
        result.drop = std::max(result.drop, rule.drop);
        result.duplicate = std::max(result.duplicate, rule.duplicate);
        result.cut = result.cut || rule.cut;
        result.close_after_bytes = std::max(result.close_after_bytes, rule.close_after_bytes);
    }
    return result;
}

std::vector<link_rule> read_rules(const nlohmann::json& from)
{
    std::vector<link_rule> result;
    for (const auto& item : from) {
        result.push_back({.from = item.value("from", "*"),
                          .to = item.value("to", "*"),
                          .across = item.value("across", false),
                          .delay = std::chrono::microseconds{static_cast<std::int64_t>(
                              item.value("delay_ms", 0.0) * microseconds_per_ms)},
                          .drop = item.value("drop", 0.0),
                          .duplicate = item.value("duplicate", 0.0),
                          .cut = item.value("cut", false),
                          .close_after_bytes = item.value("close_after_bytes", std::uint64_t{0})});
    }
    return result;
}

} // namespace hibiscusfall::standins
