#include "hibiscusfall/relay/explanation.hpp"

#include "crash_refusal.hpp"
#include "request_target.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>

namespace hibiscusfall::relay
{

namespace
{

/// Request id if the query has none; a request without an id is refused.
constexpr std::string_view default_id = "explain";
constexpr std::size_t max_segments = 256;
constexpr int decimal = 10;
constexpr int hexadecimal = 16;

template <typename Number>
std::optional<Number> parse_number(std::string_view text, int base = decimal)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Decodes a value of a query; nothing if it is malformed.
std::optional<std::string> decode(std::string_view text)
{
    constexpr std::size_t escape_length = 3;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            result += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        const auto value =
            i + escape_length <= text.size()
                ? parse_number<std::uint8_t>(text.substr(i + 1, escape_length - 1), hexadecimal)
                : std::nullopt;
        if (!value) {
            return std::nullopt;
        }
        result += static_cast<char>(*value);
        i += escape_length - 1;
    }
    return result;
}

/// Splits text at a separator; an empty text has no parts.
std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        parts.push_back(text.substr(0, text.find(separator)));
        text.remove_prefix(std::min(parts.back().size() + 1, text.size()));
    }
    return parts;
}

std::optional<std::vector<dispatch::prompt_segment>> read_segments(std::string_view text)
{
    std::vector<dispatch::prompt_segment> segments;
    for (const auto part : split(text, ',')) {
        const auto colon = std::min(part.find(':'), part.size());
        const auto id = parse_number<std::uint64_t>(part.substr(0, colon), hexadecimal);
        const auto tokens = parse_number<std::uint32_t>(part.substr(std::min(colon + 1, part.size())));
        if (!id || !tokens || segments.size() == max_segments) {
            return std::nullopt;
        }
        segments.push_back({.id = *id, .tokens = *tokens});
    }
    return segments;
}

/// Reads the size of a generation; nothing if it is malformed.
std::optional<dispatch::prompt> read_prompt(std::map<std::string, std::string, std::less<>>& given)
{
    const auto counts = split(given["tokens"], ',');
    const auto prompt_tokens = counts.empty() ? std::nullopt : parse_number<std::uint32_t>(counts.front());
    const auto max_output = counts.size() > 1 ? parse_number<std::uint32_t>(counts[1]) : 0U;
    const auto hint = given["hint"].empty() ? 0U : parse_number<std::uint32_t>(given["hint"]);
    auto segments = read_segments(given["segments"]);
    if (!prompt_tokens || !max_output || !hint || !segments || counts.size() > 2) {
        return std::nullopt;
    }
    return dispatch::prompt{.segments = std::move(*segments),
                            .prompt_tokens = *prompt_tokens,
                            .max_output_tokens = *max_output,
                            .hinted_output_tokens = *hint};
}

double to_ms(core::duration value)
{
    constexpr double microseconds_per_ms = 1000;
    return static_cast<double>(value.count()) / microseconds_per_ms;
}

const dispatch::endpoint_state* find_endpoint(const dispatch::fleet_state& fleet, dispatch::endpoint_tag tag)
{
    const auto found = fleet.endpoint_index.find(tag);
    return found == fleet.endpoint_index.end() ? nullptr : &fleet.endpoints[found->second];
}

std::string id_of(const dispatch::fleet_state& fleet, dispatch::endpoint_tag tag)
{
    const auto* endpoint = find_endpoint(fleet, tag);
    return endpoint == nullptr ? std::string{} : endpoint->entry.id.str();
}

void set_refusal(explanation& result, const detail::refusal& answer)
{
    result.status = answer.status;
    result.reason = answer.code;
    result.detail = answer.detail;
    result.retry_after = answer.retry_after;
}

/// Refusal of a request whose target was found, before it is placed.
std::optional<detail::refusal> refuse_unplaced(const relay_server& server,
                                               const detail::request_target& target,
                                               const dispatch::prompt* generation,
                                               core::instant latest_response,
                                               core::instant now)
{
    const auto& crashes = server.fleet.crashes;
    const auto traits = dispatch::traits_of(generation);
    if (const auto* cause = dispatch::find_cause(crashes, traits, target.team_tag, now)) {
        return detail::crash_refusal(crashes, *cause, traits, now);
    }
    return detail::refuse_at_instance(server, detail::describe_pending(*target.route, latest_response), now);
}

nlohmann::json describe(const explained_endpoint& endpoint)
{
    const auto& seen = endpoint.considered;
    nlohmann::json result{{"endpoint", endpoint.id},
                          {"domain", endpoint.domain},
                          {"eligible", seen.reason == dispatch::exclusion::none}};
    if (seen.reason != dispatch::exclusion::none) {
        result["reason"] = dispatch::to_string(seen.reason);
        return result;
    }
    result["score"] = seen.score;
    result["first-token-ms"] = to_ms(seen.first_token);
    result["wait-ms"] = to_ms(seen.wait);
    result["reread-tokens"] = seen.reread_tokens;
    if (!endpoint.prefix_source.empty()) {
        result["copies-from"] = endpoint.prefix_source;
        result["copied-tokens"] = seen.transferred_tokens;
    }
    return result;
}

} // namespace

std::optional<explained_request> read_explained_request(std::string_view query, std::string& problem)
{
    std::map<std::string, std::string, std::less<>> given;
    for (const auto part : split(query, '&')) {
        const auto equals = std::min(part.find('='), part.size());
        const auto name = std::string{part.substr(0, equals)};
        static constexpr std::array names{
            "host", "path", "key", "id", "tokens", "hint", "segments", "model", "time-left-ms"};
        const auto value = decode(part.substr(std::min(equals + 1, part.size())));
        if (std::find(names.begin(), names.end(), name) == names.end() || !value || given.contains(name)) {
            problem = "a parameter is unknown, given twice or not well encoded";
            return std::nullopt;
        }
        given[name] = *value;
    }
    if (given["host"].empty() || given["path"].empty()) {
        problem = "host and path are required";
        return std::nullopt;
    }
    explained_request request{
        .host = given["host"], .path = given["path"], .metadata = {}, .model = given["model"]};
    request.metadata.id = given["id"].empty() ? std::string{default_id} : given["id"];
    request.metadata.credential = given["key"];
    if (!given["tokens"].empty() || !given["segments"].empty()) {
        request.metadata.generation = read_prompt(given);
        if (!request.metadata.generation) {
            problem =
                "tokens is PROMPT or PROMPT,OUTPUT, segments is ID:TOKENS,... with hexadecimal ids, hint "
                "is a number";
            return std::nullopt;
        }
    }
    if (!given["time-left-ms"].empty()) {
        const auto left = parse_number<std::uint32_t>(given["time-left-ms"]);
        if (!left) {
            problem = "time-left-ms is a number";
            return std::nullopt;
        }
        request.metadata.time_left = std::chrono::milliseconds{*left};
    }
    return request;
}

explanation explain(const relay_server& server, const explained_request& request, core::instant now)
{
    explanation result;
    const auto table = server.table;
    const auto target =
        detail::find_target(server, table.get(), request.host, request.path, request.metadata);
    result.route = target.route == nullptr ? std::string{} : target.route->name;
    result.team = target.team == nullptr ? std::string{} : target.team->id.str();
    result.service = target.service.str();
    result.draw = target.draw;
    if (target.problem) {
        set_refusal(result, *target.problem);
        return result;
    }
    const auto& fleet = server.fleet;
    result.share_level = fleet.shares.level;
    if (const auto window = fleet.shares.teams.find(target.team_tag); window != fleet.shares.teams.end()) {
        result.requested_tokens = window->second.requested_sum;
    }
    auto generation = request.metadata.generation;
    const auto deadline = now + request.metadata.time_left.value_or(detail::default_time_left);
    const auto latest = detail::latest_response_time(*target.route, now, deadline);
    if (const auto refused =
            refuse_unplaced(server, target, generation ? &*generation : nullptr, latest, now)) {
        set_refusal(result, *refused);
        return result;
    }
    if (generation) {
        detail::estimate_output(server, *target.route, *generation);
    }
    dispatch::placement_trace trace;
    const auto decision = dispatch::place(
        fleet,
        detail::to_placement_request(target, generation ? &*generation : nullptr, now, latest),
        detail::placement_policy(server, false),
        now,
        &trace);
    result.placed = decision.placed;
    result.within_share = decision.within_share;
    result.ignored_health = trace.ignored_health;
    result.expected_first_token = decision.expected_first_token;
    if (decision.placed) {
        result.endpoint = id_of(fleet, decision.endpoint);
    } else {
        set_refusal(result, detail::placement_refusal(decision, core::elapsed(now, deadline)));
    }
    for (const auto& each : trace.endpoints) {
        const auto* endpoint = find_endpoint(fleet, each.endpoint);
        result.endpoints.push_back(
            {.id = endpoint->entry.id.str(),
             .domain = endpoint->entry.domain.str(),
             .considered = each,
             .prefix_source = each.prefix_source ? id_of(fleet, *each.prefix_source) : std::string{}});
    }
    return result;
}

std::string to_json(const explanation& result, const explained_request& request)
{
    nlohmann::json text{
        {"request", {{"host", request.host}, {"path", request.path}, {"model", request.model}}},
        {"route", result.route},
        {"team", result.team},
        {"service", result.service},
        {"share",
         {{"within", result.within_share},
          {"requested-tokens", result.requested_tokens},
          {"level-tokens", result.share_level}}},
        {"placed", result.placed},
        {"ignored-health", result.ignored_health},
        {"endpoints", nlohmann::json::array()}};
    if (result.placed) {
        text["endpoint"] = result.endpoint;
        text["first-token-ms"] = to_ms(result.expected_first_token);
    } else {
        text["refusal"] = {{"status", result.status},
                           {"code", result.reason},
                           {"detail", result.detail},
                           {"retry-after-ms", to_ms(result.retry_after)}};
    }
    for (const auto& each : result.endpoints) {
        text["endpoints"].push_back(describe(each));
    }
    return text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hibiscusfall::relay
