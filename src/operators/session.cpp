#include "hibiscusfall/operators/session.hpp"

#include "hibiscusfall/operators/command.hpp"
#include "hibiscusfall/operators/command_shape.hpp"
#include "hibiscusfall/operators/http_call.hpp"
#include "hibiscusfall/operators/table.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <array>
#include <chrono>
#include <ostream>
#include <thread>

namespace hibiscusfall::operators
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds call_timeout{8000};
constexpr std::chrono::milliseconds pause_between_attempts{300};
constexpr int attempts_on_unknown_outcome = 5;

std::string make_change_id()
{
    std::array<unsigned char, 12> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::string hex(2 * bytes.size() + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    hex.pop_back();
    return hex;
}

/// The answer of the first router that gives one.
std::optional<json> ask_any(const session& session, const json& body, std::string& reason)
{
    if (session.routers.empty()) {
        reason = "no --router is given";
    }
    for (const auto& router : session.routers) {
        const auto answer = perform({.to = router,
                                     .path = "/v1/command",
                                     .token = session.token,
                                     .body = body.dump(),
                                     .timeout = call_timeout},
                                    reason);
        if (!answer) {
            continue;
        }
        auto parsed = json::parse(answer->body, nullptr, false);
        if (parsed.is_object() && parsed.contains("outcome")) {
            return parsed;
        }
        reason = core::to_string(router) + ": the answer is not that of a router";
    }
    return std::nullopt;
}

/// Asks again under the same change id while the outcome is unknown.
std::optional<json> ask_until_known(const session& session, const json& body, std::string& reason)
{
    std::optional<json> answer;
    for (int attempt = 0; attempt < attempts_on_unknown_outcome; ++attempt) {
        if (attempt > 0) {
            std::this_thread::sleep_for(pause_between_attempts);
        }
        answer = ask_any(session, body, reason);
        if (answer && (*answer)["outcome"] != "unknown") {
            return answer;
        }
    }
    return answer;
}

table to_table(const json& answer)
{
    return {.columns = answer.value("columns", std::vector<std::string>{}),
            .rows = answer.value("rows", std::vector<std::vector<std::string>>{}),
            .notes = answer.value("notes", std::vector<std::string>{})};
}

exit_status print(const session& session, const json& answer, std::ostream& out, std::ostream& errors)
{
    const auto outcome = answer["outcome"].get<std::string>();
    if (session.json) {
        out << answer.dump() << '\n';
    }
    if (outcome == "refused" || outcome == "unknown") {
        errors << outcome << ": " << answer.value("reason", "no reason was given") << '\n';
        return outcome == "refused" ? exit_status::refused : exit_status::unreachable;
    }
    if (session.json) {
        return exit_status::accepted;
    }
    if (outcome == "accepted") {
        out << "accepted: revision " << answer.value("revision", 0U) << '\n';
    } else {
        out << to_text(to_table(answer));
    }
    return exit_status::accepted;
}

} // namespace

exit_status run(const session& session, std::string_view line, std::ostream& out, std::ostream& errors)
{
    const auto read = read_command(line);
    if (const auto* error = std::get_if<usage_error>(&read)) {
        errors << "usage: " << error->message << '\n';
        return exit_status::usage;
    }
    const auto& wanted = std::get<command>(read);
    if (const auto* help = std::get_if<help_command>(&wanted)) {
        out << help_text(help->topic);
        return exit_status::accepted;
    }
    json body{{"command", line}, {"author", session.author}};
    std::string reason;
    std::optional<json> answer;
    if (std::holds_alternative<change_command>(wanted)) {
        body["change_id"] = session.change_id.empty() ? make_change_id() : session.change_id;
        answer = ask_until_known(session, body, reason);
    } else {
        answer = ask_any(session, body, reason);
    }
    if (!answer) {
        errors << "unreachable: " << reason << '\n';
        return exit_status::unreachable;
    }
    return print(session, *answer, out, errors);
}

} // namespace hibiscusfall::operators
