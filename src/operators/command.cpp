#include "hibiscusfall/operators/command.hpp"

#include "change_reader.hpp"

#include "hibiscusfall/operators/command_shape.hpp"
#include "hibiscusfall/operators/statement.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace hibiscusfall::operators
{

namespace
{

using detail::bound_command;
using reading = std::variant<command, usage_error>;

std::string quote(std::string_view text)
{
    return "\"" + std::string{text} + "\"";
}

/// Puts the nearest known word behind an error message.
usage_error unknown_word(std::string message, std::string_view typed, const std::set<std::string_view>& known)
{
    const std::vector<std::string_view> words(known.begin(), known.end());
    const auto nearest = suggest(typed, words);
    message += nearest.empty() ? "; known are " : "; did you mean " + quote(nearest) + "?";
    if (nearest.empty()) {
        for (std::size_t index = 0; index < words.size(); ++index) {
            message.append(index == 0 ? "" : ", ").append(words[index]);
        }
    }
    return {.message = std::move(message)};
}

const command_shape* find_shape(std::string_view verb, std::string_view noun)
{
    const auto shapes = command_shapes();
    const auto found = std::find_if(shapes.begin(), shapes.end(), [&](const command_shape& shape) {
        return shape.verb == verb && shape.noun == noun;
    });
    return found == shapes.end() ? nullptr : &*found;
}

usage_error explain_unknown(const statement& line)
{
    std::set<std::string_view> verbs;
    std::set<std::string_view> nouns;
    const std::string_view verb = line.words[0];
    for (const auto& shape : command_shapes()) {
        verbs.insert(shape.verb);
        if (shape.verb == verb) {
            nouns.insert(shape.noun);
        }
    }
    if (nouns.empty()) {
        return unknown_word("unknown command " + quote(verb), verb, verbs);
    }
    if (line.words.size() < 2) {
        return unknown_word(quote(verb) + " needs to be told what", "", nouns);
    }
    return unknown_word("cannot " + std::string{verb} + " " + quote(line.words[1]), line.words[1], nouns);
}

std::variant<bound_command, usage_error> bind_options(const command_shape& shape, const statement& line)
{
    bound_command bound{.shape = &shape, .name = {}, .options = {}};
    std::size_t next = 2;
    if (shape.takes_name) {
        if (line.words.size() <= next) {
            return usage_error{.message = "the name is missing; usage: " + usage_of(shape)};
        }
        bound.name = line.words[next++];
    }
    std::set<std::string_view> known;
    for (const auto& option : shape.options) {
        known.insert(option.key);
    }
    for (; next < line.words.size(); next += 2) {
        const auto& key = line.words[next];
        if (!known.contains(key)) {
            return known.empty()
                       ? usage_error{.message = quote(key) + " is not expected; usage: " + usage_of(shape)}
                       : unknown_word("unknown option " + quote(key), key, known);
        }
        if (next + 1 == line.words.size()) {
            return usage_error{.message =
                                   "option " + quote(key) + " has no value; usage: " + usage_of(shape)};
        }
        if (!bound.options.emplace(key, line.words[next + 1]).second) {
            return usage_error{.message = "option " + quote(key) + " is given twice"};
        }
    }
    for (const auto& option : shape.options) {
        if (option.required && !bound.options.contains(std::string{option.key})) {
            return usage_error{.message =
                                   "option " + quote(option.key) + " is missing; usage: " + usage_of(shape)};
        }
    }
    return bound;
}

std::optional<query_subject> to_subject(std::string_view noun)
{
    constexpr std::pair<std::string_view, query_subject> subjects[] = {
        {"teams", query_subject::teams},
        {"team", query_subject::team},
        {"services", query_subject::services},
        {"endpoints", query_subject::endpoints},
        {"instances", query_subject::instances},
        {"configuration", query_subject::configuration},
        {"history", query_subject::history},
    };
    for (const auto& [name, subject] : subjects) {
        if (name == noun) {
            return subject;
        }
    }
    return std::nullopt;
}

reading read_query(const bound_command& bound)
{
    const auto subject = to_subject(bound.shape->noun);
    if (!subject) {
        return usage_error{.message = "cannot show " + quote(bound.shape->noun)};
    }
    query_command query{.subject = *subject, .name = bound.name, .service = {}, .domain = {}};
    if (const auto* service = bound.find("service")) {
        query.service = core::service_id{*service};
    }
    if (const auto* domain = bound.find("domain")) {
        query.domain = core::failure_domain_id{*domain};
    }
    if (const auto* last = bound.find("last")) {
        const auto [end, error] = std::from_chars(last->data(), last->data() + last->size(), query.last);
        if (error != std::errc{} || end != last->data() + last->size()) {
            return usage_error{.message = "last " + quote(*last) + " is not a whole number"};
        }
    }
    return command{query};
}

/// The command with secrets replaced, as it goes into the history.
std::string redact(const bound_command& bound)
{
    auto text = std::string{bound.shape->verb} + " " + std::string{bound.shape->noun} + " " + bound.name;
    for (const auto& [key, value] : bound.options) {
        text += " " + key + " " + (key == "token" ? "***" : value);
    }
    return text;
}

reading read_change_command(const bound_command& bound)
{
    auto wanted = detail::read_change(bound);
    if (auto* error = std::get_if<usage_error>(&wanted)) {
        return std::move(*error);
    }
    return command{
        change_command{.wanted = std::get<configuration::change>(std::move(wanted)), .text = redact(bound)}};
}

} // namespace

std::variant<command, usage_error> read_command(std::string_view line)
{
    const auto parsed = parse_statement(line);
    if (const auto* error = std::get_if<syntax_error>(&parsed)) {
        return usage_error{.message = "column " + std::to_string(error->column) + ": " + error->message};
    }
    const auto& words = std::get<statement>(parsed);
    if (words.words.empty()) {
        return usage_error{.message = "the command is empty"};
    }
    if (words.words[0] == "help") {
        return command{help_command{.topic = words.words.size() > 1 ? words.words[1] : ""}};
    }
    const auto* shape = words.words.size() > 1 ? find_shape(words.words[0], words.words[1]) : nullptr;
    if (shape == nullptr) {
        return explain_unknown(words);
    }
    auto bound = bind_options(*shape, words);
    if (auto* error = std::get_if<usage_error>(&bound)) {
        return std::move(*error);
    }
    const auto& complete = std::get<bound_command>(bound);
    return shape->verb == "show" ? read_query(complete) : read_change_command(complete);
}

} // namespace hibiscusfall::operators
