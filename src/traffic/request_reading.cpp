#include "request_reading.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace hibiscusfall::traffic::detail
{

namespace
{

using core::failure;
using core::verdict;
using nlohmann::json;

constexpr std::string_view services_prefix = "/services/";
constexpr std::string_view deadline_header = "X-Deadline-Ms";
constexpr std::string_view cost_header = "X-Cost-Hint";
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::uint64_t longest_deadline_ms = 3600000;
constexpr std::uint64_t largest_hint_tokens = 10000000;
constexpr std::size_t longest_key = 255;
constexpr std::size_t prefix_bytes = 256;

std::string_view path_of(const request_head& head)
{
    const auto target = to_view(head.target());
    return target.substr(0, target.find('?'));
}

bool is_model_path(std::string_view path)
{
    return path == "/v1/completions" || path == "/v1/chat/completions";
}

verdict malformed(std::string detail)
{
    return verdict::not_run(failure::malformed, std::move(detail));
}

std::optional<std::uint64_t> to_number(std::string_view text, std::uint64_t lowest, std::uint64_t highest)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || number < lowest || number > highest) {
        return std::nullopt;
    }
    return number;
}

std::optional<verdict>
check_number_header(const request_head& head, std::string_view name, std::uint64_t highest)
{
    const auto found = head.find(to_beast(name));
    if (found == head.end() || to_number(to_view(found->value()), 1, highest)) {
        return std::nullopt;
    }
    return malformed("header " + std::string{name} + ": \"" + std::string{found->value()} +
                     "\" is not a whole number from 1 to " + std::to_string(highest));
}

std::optional<verdict> check_path(const request_head& head)
{
    const auto path = path_of(head);
    if (is_model_path(path)) {
        if (head.method() != http::verb::post) {
            return verdict::not_run(failure::bad_method, std::string{path} + " takes POST only");
        }
        return std::nullopt;
    }
    if (!path.starts_with(services_prefix) || path.size() == services_prefix.size()) {
        return verdict::not_run(failure::unknown_path, "no such path: " + std::string{path});
    }
    if (path.find("/../") != std::string_view::npos || path.ends_with("/..")) {
        return malformed("the path has a \"..\" segment: " + std::string{path});
    }
    constexpr std::array allowed{
        http::verb::get, http::verb::post, http::verb::put, http::verb::patch, http::verb::delete_};
    if (std::find(allowed.begin(), allowed.end(), head.method()) == allowed.end()) {
        return verdict::not_run(failure::bad_method,
                                std::string{path} + " takes GET, POST, PUT, PATCH and DELETE only");
    }
    return std::nullopt;
}

std::optional<verdict> check_key(const request_head& head)
{
    const auto found = head.find(to_beast(key_header));
    if (found == head.end()) {
        return std::nullopt;
    }
    if (found->value().empty() || found->value().size() > longest_key) {
        return malformed("header Idempotency-Key has " + std::to_string(found->value().size()) +
                         " bytes; 1 to 255 are allowed");
    }
    return std::nullopt;
}

/// The text whose start decides which engine has its prefix in its cache.
std::string_view prompt_of(const json& body)
{
    if (const auto prompt = body.find("prompt"); prompt != body.end() && prompt->is_string()) {
        return prompt->get_ref<const std::string&>();
    }
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty() ||
        !messages->front().is_object()) {
        return {};
    }
    const auto content = messages->front().find("content");
    return content != messages->front().end() && content->is_string()
               ? std::string_view{content->get_ref<const std::string&>()}
               : std::string_view{};
}

std::uint64_t prefix_digest(std::string_view text)
{
    if (text.empty()) {
        return 0;
    }
    const auto start = text.substr(0, prefix_bytes);
    std::array<unsigned char, crypto_generichash_BYTES_MIN> digest{};
    crypto_generichash(digest.data(),
                       digest.size(),
                       reinterpret_cast<const unsigned char*>(start.data()),
                       start.size(),
                       nullptr,
                       0);
    std::uint64_t result = 0;
    std::memcpy(&result, digest.data(), sizeof result);
    return result;
}

std::optional<verdict> check_body(const json& body)
{
    if (body.is_discarded()) {
        return malformed("the body is not JSON");
    }
    if (!body.is_object()) {
        return malformed("the body is not a JSON object");
    }
    if (!body.contains("model") || !body["model"].is_string()) {
        return malformed("the body has no \"model\" text");
    }
    if (body.contains("stream") && !body["stream"].is_boolean()) {
        return malformed("\"stream\" of the body is neither true nor false");
    }
    if (body.contains("max_tokens") &&
        (!body["max_tokens"].is_number_unsigned() ||
         body["max_tokens"].get<std::uint64_t>() > largest_hint_tokens || body["max_tokens"] == 0)) {
        return malformed("\"max_tokens\" of the body is not a whole number from 1 to " +
                         std::to_string(largest_hint_tokens));
    }
    return std::nullopt;
}

planned_request find_service(request_plan plan,
                             const configuration::document& document,
                             std::string_view name,
                             configuration::service_kind kind)
{
    plan.service = document.find(core::service_id{name});
    if (plan.service == nullptr || plan.service->kind != kind) {
        const auto* word = kind == configuration::service_kind::model ? "model" : "plain";
        return verdict::not_run(failure::unknown_service,
                                std::string{"no "} + word + " service is named \"" + std::string{name} +
                                    "\"");
    }
    if (plan.service->draining) {
        return verdict::not_run(failure::no_endpoint, "service " + std::string{name} + " is draining");
    }
    return plan;
}

} // namespace

std::optional<verdict> check_head(const request_head& head)
{
    if (auto fault = check_path(head)) {
        return fault;
    }
    if (auto fault = check_number_header(head, deadline_header, longest_deadline_ms)) {
        return fault;
    }
    if (auto fault = check_number_header(head, cost_header, largest_hint_tokens)) {
        return fault;
    }
    return check_key(head);
}

std::string_view bearer_token(const request_head& head)
{
    constexpr std::string_view scheme = "Bearer ";
    const auto value = to_view(head[http::field::authorization]);
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string_view{};
}

planned_request plan_request(const caller_request& request, const configuration::document& document)
{
    request_plan plan;
    const auto hint = to_number(to_view(request[to_beast(cost_header)]), 1, largest_hint_tokens);
    const auto deadline = to_number(to_view(request[to_beast(deadline_header)]), 1, longest_deadline_ms);
    plan.hint_tokens = hint.value_or(0);
    plan.deadline = std::chrono::milliseconds{deadline.value_or(0)};
    plan.key = std::string{request[to_beast(key_header)]};
    const auto path = path_of(request);
    if (!is_model_path(path)) {
        const auto rest = path.substr(services_prefix.size());
        return find_service(
            std::move(plan), document, rest.substr(0, rest.find('/')), configuration::service_kind::plain);
    }
    const auto body = json::parse(request.body(), nullptr, false);
    if (auto fault = check_body(body)) {
        return *std::move(fault);
    }
    plan.streamed = body.value("stream", false);
    if (!hint) {
        plan.hint_tokens = body.value("max_tokens", std::uint64_t{0});
    }
    plan.prefix = prefix_digest(prompt_of(body));
    return find_service(
        std::move(plan), document, body["model"].get<std::string>(), configuration::service_kind::model);
}

} // namespace hibiscusfall::traffic::detail
