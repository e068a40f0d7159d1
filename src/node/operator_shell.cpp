#include "operator_shell.hpp"

#include "peer_calls.hpp"
#include "query_answers.hpp"

#include "hibiscusfall/operators/command_shape.hpp"
#include "hibiscusfall/telemetry/log_event.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <chrono>

namespace hibiscusfall::node::detail
{

namespace
{

using nlohmann::json;
using operators::operator_call;
using operators::operator_reply;

operator_reply refusal(int status, const std::string& reason)
{
    return {.status = status, .body = json{{"outcome", "refused"}, {"reason", reason}}.dump()};
}

bool equal_secrets(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::int64_t unix_now()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
}

std::string text_of(const json& body, const char* key)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

} // namespace

operator_shell::operator_shell(node_core& given, configuration_shell& changes, scheduling_shell& slots)
    : parts(given), configuration(changes), collector(given, slots), figures(given, this->collector),
      calls({.key = peer_call_key(given.settings.fleet_secret)}), server(given.settings.operators)
{
}

std::optional<std::string> operator_shell::start(core::instant now)
{
    this->collector.start(now);
    this->server.route("/v1/command", [this](const operator_call& call) { return this->run_command(call); });
    this->calls.add({.name = figures_method, .texts = {}, .numbers = {}, .call = [this](const rpc::fields&) {
                         return rpc::fields{.texts = {{"figures", this->figures.write_own()}}, .numbers = {}};
                     }});
    this->calls.add(
        {.name = configuration_method, .texts = {}, .numbers = {"have"}, .call = [this](const auto& asked) {
             return this->configuration.answer_peer(asked.numbers.at("have"));
         }});
    this->server.mount("/v1/rpc", this->calls.service());
    this->server.route("/health", [](const operator_call& /*call*/) {
        return operator_reply{.body = R"({"status":"live"})"};
    });
    this->server.route("/ready", [this](const operator_call& /*call*/) {
        const bool leaving = this->parts.loop.ask(
            [this] { return this->parts.members.self.status == protocol::member_status::leaving; });
        const bool ready = !leaving && this->parts.configuration.current() != nullptr;
        return operator_reply{.status = ready ? 200 : 503, .body = json{{"ready", ready}}.dump()};
    });
    return this->server.start();
}

void operator_shell::stop()
{
    this->server.stop();
}

operator_reply operator_shell::run_command(const operator_call& call)
{
    if (!equal_secrets(configuration::hash_token(call.token), this->parts.settings.operator_token_hash)) {
        return refusal(401, "the operator token is missing or wrong");
    }
    const auto body = json::parse(call.body, nullptr, false);
    if (!body.is_object() || text_of(body, "command").empty()) {
        return refusal(400, "the body is no JSON object with a text \"command\"");
    }
    const auto read = operators::read_command(text_of(body, "command"));
    if (const auto* error = std::get_if<operators::usage_error>(&read)) {
        return refusal(400, error->message);
    }
    const auto& command = std::get<operators::command>(read);
    if (const auto* wanted = std::get_if<operators::change_command>(&command)) {
        return this->run_change(*wanted, text_of(body, "change_id"), text_of(body, "author"));
    }
    if (const auto* query = std::get_if<operators::query_command>(&command)) {
        return this->run_query(*query);
    }
    const auto& help = std::get<operators::help_command>(command);
    return {.body = json{{"outcome", "answered"}, {"text", operators::help_text(help.topic)}}.dump()};
}

operator_reply operator_shell::run_change(const operators::change_command& wanted,
                                          const std::string& change_id,
                                          const std::string& author)
{
    if (change_id.empty()) {
        return refusal(400, "a change needs a \"change_id\"");
    }
    const auto result = this->configuration.change({.change_id = change_id,
                                                    .command = wanted.text,
                                                    .author = author,
                                                    .unix_seconds = unix_now(),
                                                    .wanted = wanted.wanted});
    telemetry::write(telemetry::log_event{"change"}
                         .with("outcome", to_string(result.outcome))
                         .with("change_id", change_id)
                         .with("author", author)
                         .with("command", wanted.text)
                         .with("revision", result.revision)
                         .with("reason", result.reason));
    if (result.outcome == change_outcome::accepted) {
        return {.body = json{{"outcome", "accepted"}, {"revision", result.revision}, {"change_id", change_id}}
                            .dump()};
    }
    return {
        .status = result.outcome == change_outcome::refused ? 409 : 503,
        .body =
            json{{"outcome", to_string(result.outcome)}, {"reason", result.reason}, {"change_id", change_id}}
                .dump()};
}

operator_reply operator_shell::run_query(const operators::query_command& query)
{
    const auto answer = answer_query(this->parts, this->figures, query);
    return {.body = json{{"outcome", "answered"},
                         {"columns", answer.columns},
                         {"rows", answer.rows},
                         {"notes", answer.notes}}
                        .dump()};
}

} // namespace hibiscusfall::node::detail
