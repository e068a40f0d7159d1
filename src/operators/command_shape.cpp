#include "hibiscusfall/operators/command_shape.hpp"

#include <algorithm>

namespace hibiscusfall::operators
{

namespace
{

constexpr option_shape share_option{"share", "NUMBER", false, "weight against the other teams, above 0"};
constexpr option_shape token_option{"token", "TEXT", false, "bearer token of the team's callers"};
constexpr option_shape home_option{
    "home", "DOMAIN", false, "failure domain that settles the team's idempotency keys"};
constexpr option_shape repeatable_option{"repeatable", "yes|no", false, "whether a request may be run again"};
constexpr option_shape worth_option{"worth", "NUMBER", false, "service that one answered request counts for"};
constexpr option_shape token_worth_option{
    "token_worth", "NUMBER", false, "service that each token counts for"};
constexpr option_shape resume_option{
    "resume_elsewhere", "yes|no", false, "whether each engine can go on with a stream of another one"};
constexpr option_shape address_option{"address", "IP:PORT", false, "where the endpoint listens"};
constexpr option_shape slots_option{"slots", "NUMBER", false, "requests that it may run at once"};
constexpr option_shape fencing_option{
    "fencing", "checked|ignored", false, "whether it refuses orders with an old fencing number"};

constexpr option_shape role_option{
    "role", "any|prefill|decode", false, "part of a model's work that placement orders it to take"};
constexpr option_shape models_option{
    "models", "NAME,NAME", false, "models that placement loads beside that of its service; \"\" for none"};

option_shape required(option_shape option)
{
    option.required = true;
    return option;
}

std::vector<command_shape> team_commands()
{
    return {{"create",
             "team",
             true,
             {required(share_option), required(token_option), required(home_option)},
             "Create a team.",
             "create team huts share 2 token s3cret home north"},
            {"alter",
             "team",
             true,
             {share_option, token_option, home_option},
             "Change what is named; the rest stays.",
             "alter team huts share 3"},
            {"remove",
             "team",
             true,
             {},
             "Remove a team; its callers are refused from then on.",
             "remove team huts"}};
}

std::vector<command_shape> service_commands()
{
    return {
        {"declare",
         "service",
         true,
         {required({"kind", "model|plain", false, "generating model or any other service"}),
          repeatable_option,
          worth_option,
          token_worth_option,
          resume_option},
         "Declare a service.",
         "declare service booking kind plain repeatable no worth 5"},
        {"alter",
         "service",
         true,
         {repeatable_option, worth_option, token_worth_option, resume_option},
         "Change what is named; the rest stays.",
         "alter service booking worth 6"},
        {"drain", "service", true, {}, "Take no new requests for a service.", "drain service booking"},
        {"undrain", "service", true, {}, "Take requests for a service again.", "undrain service booking"},
        {"remove", "service", true, {}, "Remove a service that has no endpoints.", "remove service booking"}};
}

std::vector<command_shape> endpoint_commands()
{
    return {{"declare",
             "endpoint",
             true,
             {required({"service", "NAME", false, "service that it answers"}),
              required({"domain", "DOMAIN", false, "failure domain that it runs in"}),
              required(address_option),
              slots_option,
              fencing_option,
              role_option,
              models_option},
             "Declare an endpoint.",
             "declare endpoint draft-1 service draft domain north address 10.0.0.7:8000 slots 8"},
            {"alter",
             "endpoint",
             true,
             {address_option, slots_option, fencing_option, role_option, models_option},
             "Change what is named; the rest stays.",
             "alter endpoint draft-1 role prefill models draft-small,draft-lora"},
            {"drain",
             "endpoint",
             true,
             {},
             "Give an endpoint no new work; running work ends.",
             "drain endpoint draft-1"},
            {"undrain", "endpoint", true, {}, "Give an endpoint work again.", "undrain endpoint draft-1"},
            {"remove", "endpoint", true, {}, "Remove an endpoint.", "remove endpoint draft-1"}};
}

std::vector<command_shape> query_commands()
{
    return {{"show",
             "teams",
             false,
             {},
             "Share, service received, rate, backlog and gap of every team, over the whole fleet.",
             "show teams"},
            {"show", "team", true, {}, "The same for one team, by service.", "show team huts"},
            {"show", "services", false, {}, "Every declared service.", "show services"},
            {"show",
             "endpoints",
             false,
             {{"service", "NAME", false, "only endpoints of this service"},
              {"domain", "DOMAIN", false, "only endpoints in this failure domain"}},
             "Declared endpoints with their slots in use.",
             "show endpoints service draft"},
            {"show", "instances", false, {}, "The instances that the asked one knows.", "show instances"},
            {"show", "configuration", false, {}, "Revision in force, and counts.", "show configuration"},
            {"show",
             "history",
             false,
             {{"last", "NUMBER", false, "only the newest changes"}},
             "Accepted changes with who and when.",
             "show history last 10"},
            {"help", "", false, {}, "All commands; \"help team\" for those on teams.", "help team"}};
}

std::vector<command_shape> all_commands()
{
    auto result = team_commands();
    for (auto&& group : {service_commands(), endpoint_commands(), query_commands()}) {
        result.insert(result.end(), group.begin(), group.end());
    }
    return result;
}

/// The number of single-letter insertions, removals and replacements between two words.
std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    for (std::size_t column = 0; column < row.size(); ++column) {
        row[column] = column;
    }
    for (std::size_t line = 1; line <= left.size(); ++line) {
        std::size_t diagonal = row[0];
        row[0] = line;
        for (std::size_t column = 1; column <= right.size(); ++column) {
            const std::size_t replaced = diagonal + (left[line - 1] == right[column - 1] ? 0 : 1);
            diagonal = row[column];
            row[column] = std::min({row[column] + 1, row[column - 1] + 1, replaced});
        }
    }
    return row.back();
}

} // namespace

std::span<const command_shape> command_shapes()
{
    static const auto shapes = all_commands();
    return shapes;
}

std::string usage_of(const command_shape& shape)
{
    std::string text{shape.verb};
    if (!shape.noun.empty()) {
        text.append(" ").append(shape.noun);
    }
    text += shape.takes_name ? " NAME" : "";
    for (const auto& option : shape.options) {
        const auto pair = std::string{option.key} + " " + std::string{option.value};
        text += option.required ? " " + pair : " [" + pair + "]";
    }
    return text;
}

std::string help_text(std::string_view topic)
{
    std::string text;
    for (const auto& shape : command_shapes()) {
        const bool wanted = topic.empty() || shape.verb == topic || shape.noun == topic ||
                            shape.noun == std::string{topic} + "s";
        if (!wanted) {
            continue;
        }
        text += usage_of(shape) + "\n    " + std::string{shape.help} + "\n";
        if (!topic.empty()) {
            for (const auto& option : shape.options) {
                text.append("    ").append(option.key).append(": ").append(option.help).append("\n");
            }
        }
        text += "    example: " + std::string{shape.example} + "\n";
    }
    return text;
}

std::string_view suggest(std::string_view typed, std::span<const std::string_view> known)
{
    constexpr std::size_t furthest = 2;
    std::string_view best;
    std::size_t best_distance = furthest + 1;
    for (const auto candidate : known) {
        const auto distance = edit_distance(typed, candidate);
        if (distance < best_distance && distance < candidate.size()) {
            best = candidate;
            best_distance = distance;
        }
    }
    return best;
}

} // namespace hibiscusfall::operators
