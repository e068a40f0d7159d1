#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hibiscusfall::standins
{

/// @brief What happens on links from some places to others. A place is a name, a group, or "*".
struct link_rule {
    std::string from = "*";
    std::string to = "*";
    bool across = false; ///< Only links between two different groups.
    std::chrono::microseconds delay{};
    double drop = 0;                     ///< Part of datagrams that is lost, 0..1.
    double duplicate = 0;                ///< Part of datagrams that comes twice, 0..1.
    bool cut = false;                    ///< Nothing goes through; TCP bytes wait until it is healed.
    std::uint64_t close_after_bytes = 0; ///< TCP connections are closed after so many bytes; 0 for never.
};

/// @brief All rules, and which group each place belongs to.
struct link_rules {
    std::map<std::string, std::string> groups;
    std::vector<link_rule> rules;
};

/// @brief What holds for one direction of one link: the strongest of all rules that match.
[[nodiscard]] link_rule rule_for(const link_rules& all, const std::string& from, const std::string& to);

/// @brief Reads a list of rules. Throws nlohmann::json::exception when it has another form.
[[nodiscard]] std::vector<link_rule> read_rules(const nlohmann::json& from);

} // namespace hibiscusfall::standins
