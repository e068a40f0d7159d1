#pragma once

#include "hibiscusfall/configuration/change.hpp"
#include "hibiscusfall/core/identifiers.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hibiscusfall::operators
{

/// @brief A command that changes the configuration.
struct change_command {
    configuration::change wanted;
    std::string text; ///< The command as typed, without secrets, for the history.
};

/// @brief What a query is about.
enum class query_subject : std::uint8_t {
    teams,
    team,
    services,
    endpoints,
    instances,
    configuration,
    history
};

/// @brief A command that only asks.
struct query_command {
    query_subject subject = query_subject::teams;
    std::string name;               ///< The team, for query_subject::team.
    core::service_id service;       ///< Filter of endpoints; empty for all.
    core::failure_domain_id domain; ///< Filter of endpoints; empty for all.
    std::size_t last = 20;          ///< Most rows of the history.
};

/// @brief A command that is answered from the language itself.
struct help_command {
    std::string topic;
};

/// @brief Why a line is no command.
struct usage_error {
    std::string message; ///< Names the word that is wrong and, where one is near, the right one.
};

using command = std::variant<change_command, query_command, help_command>;

/// @brief Reads one line of the command language.
///
/// @code
/// const auto read = read_command("alter team huts share 3");
/// if (const auto* error = std::get_if<usage_error>(&read)) { ... }
/// @endcode
[[nodiscard]] std::variant<command, usage_error> read_command(std::string_view line);

} // namespace hibiscusfall::operators
