// Asks an instance where a request would be sent now and why, and prints the answer.
#include <CLI/CLI.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

namespace
{

enum exit_status { placed = 0, refused = 1, usage = 2, unreachable = 3 };

struct arguments {
    std::string instance;
    std::string host;
    std::string path;
    std::string key;
    std::string id;
    std::string tokens;
    std::string segments;
    std::string hint;
    std::string model;
    std::string time_left_ms;
    bool json = false;
};

void declare(CLI::App& app, arguments& given)
{
    app.add_option("--instance", given.instance, "metrics address of an instance, ip:port")
        ->envname("HIBISCUSFALL_INSTANCE")
        ->required();
    app.add_option("--key", given.key, "the team's key; the environment hides it from other users")
        ->envname("HIBISCUSFALL_KEY");
    app.add_option("--tokens", given.tokens, "tokens of a generation: PROMPT or PROMPT,MAX_OUTPUT");
    app.add_option(
        "--segments", given.segments, "segments of the prompt: ID:TOKENS,... with hexadecimal ids");
    app.add_option("--hint", given.hint, "output tokens that the caller expects");
    app.add_option("--model", given.model, "model of the request");
    app.add_option("--id", given.id, "request id, which selects the service where a route has several");
    app.add_option("--time-left-ms", given.time_left_ms, "time until the caller gives up");
    app.add_flag("--json", given.json, "print the answer as the instance gives it");
    app.add_option("host", given.host, "host of the request")->required();
    app.add_option("path", given.path, "path of the request")->required();
    app.set_version_flag("--version", HIBISCUSFALL_VERSION);
    app.footer("Exit status: 0 placed, 1 refused, 2 usage, 3 instance not reached.");
}

httplib::Params to_query(const arguments& given)
{
    httplib::Params query;
    for (const auto& [name, value] : {std::pair{"host", &given.host},
                                      {"path", &given.path},
                                      {"key", &given.key},
                                      {"id", &given.id},
                                      {"tokens", &given.tokens},
                                      {"segments", &given.segments},
                                      {"hint", &given.hint},
                                      {"model", &given.model},
                                      {"time-left-ms", &given.time_left_ms}}) {
        if (!value->empty()) {
            query.emplace(name, *value);
        }
    }
    return query;
}

std::string text_of(const nlohmann::json& from, const char* name)
{
    const auto found = from.find(name);
    if (found == from.end()) {
        return "-";
    }
    if (found->is_number_float()) {
        std::ostringstream text;
        text << std::fixed << std::setprecision(1) << found->get<double>();
        return text.str();
    }
    const auto text = found->is_string() ? found->get<std::string>() : found->dump();
    return text.empty() ? "-" : text;
}

void print(const nlohmann::json& answer)
{
    const auto& share = answer.at("share");
    std::cout << "route " << text_of(answer, "route") << ", team " << text_of(answer, "team") << ", service "
              << text_of(answer, "service") << '\n'
              << (share.at("within").get<bool>() ? "within" : "beyond") << " the team's share: requested "
              << text_of(share, "requested-tokens") << " of " << text_of(share, "level-tokens")
              << " tokens\n";
    if (answer.at("placed").get<bool>()) {
        std::cout << "placed at " << text_of(answer, "endpoint") << ", first token expected after "
                  << text_of(answer, "first-token-ms") << " ms\n";
    } else {
        const auto& refusal = answer.at("refusal");
        std::cout << "refused: " << text_of(refusal, "status") << ' ' << text_of(refusal, "code") << ", "
                  << text_of(refusal, "detail") << "; retry after " << text_of(refusal, "retry-after-ms")
                  << " ms\n";
    }
    if (answer.at("ignored-health").get<bool>()) {
        std::cout << "suspended and unreachable endpoints are considered, as no other is left\n";
    }
    constexpr int name_width = 24;
    constexpr int number_width = 12;
    std::cout << std::left << std::setw(name_width) << "endpoint" << std::setw(name_width) << "domain"
              << std::right << std::setw(number_width) << "score" << std::setw(number_width) << "first token"
              << "  remark\n";
    for (const auto& each : answer.at("endpoints")) {
        const auto remark =
            each.contains("reason") ? text_of(each, "reason")
            : each.contains("copies-from")
                ? "copies " + text_of(each, "copied-tokens") + " tokens from " + text_of(each, "copies-from")
                : std::string{};
        std::cout << std::left << std::setw(name_width) << text_of(each, "endpoint") << std::setw(name_width)
                  << text_of(each, "domain") << std::right << std::setw(number_width)
                  << text_of(each, "score") << std::setw(number_width) << text_of(each, "first-token-ms")
                  << "  " << remark << '\n';
    }
}

int run(const arguments& given)
{
    constexpr int ok = 200;
    constexpr int bad_request = 400;
    constexpr int timeout_seconds = 5;
    httplib::Client client{"http://" + given.instance};
    client.set_connection_timeout(timeout_seconds);
    client.set_read_timeout(timeout_seconds);
    const auto response = client.Get("/explain", to_query(given), httplib::Headers{});
    if (!response) {
        std::cerr << given.instance << " cannot be reached\n";
        return exit_status::unreachable;
    }
    if (response->status == bad_request) {
        std::cerr << response->body << '\n';
        return exit_status::usage;
    }
    const auto answer = nlohmann::json::parse(response->body, nullptr, false);
    if (response->status != ok || !answer.is_object() || !answer.contains("placed")) {
        std::cerr << given.instance << " has no such page\n";
        return exit_status::unreachable;
    }
    if (given.json) {
        std::cout << response->body << '\n';
    } else {
        print(answer);
    }
    return answer.at("placed").get<bool>() ? exit_status::placed : exit_status::refused;
}

} // namespace

int main(int count, char** words)
{
    CLI::App app{"Asks an instance where a request would be sent now and why, without sending it."};
    arguments given;
    declare(app, given);
    try {
        app.parse(count, words);
    } catch (const CLI::ParseError& problem) {
        return app.exit(problem) == 0 ? EXIT_SUCCESS : exit_status::usage;
    }
    try {
        return run(given);
    } catch (const std::exception& problem) {
        std::cerr << "the answer of " << given.instance << " cannot be read\n";
        return exit_status::unreachable;
    }
}
