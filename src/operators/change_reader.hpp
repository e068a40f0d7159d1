#pragma once

#include "hibiscusfall/configuration/change.hpp"
#include "hibiscusfall/operators/command.hpp"
#include "hibiscusfall/operators/command_shape.hpp"

#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace hibiscusfall::operators::detail
{

/// @brief A command whose words fit its shape; the values are not read yet.
struct bound_command {
    const command_shape* shape = nullptr;
    std::string name;
    std::map<std::string, std::string> options;

    /// @brief The value of an option; null when it was not given.
    [[nodiscard]] const std::string* find(const std::string& key) const
    {
        const auto found = this->options.find(key);
        return found == this->options.end() ? nullptr : &found->second;
    }
};

/// @brief Reads the values of a command that changes the configuration.
[[nodiscard]] std::variant<configuration::change, usage_error> read_change(const bound_command& bound);

} // namespace hibiscusfall::operators::detail
