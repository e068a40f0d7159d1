#include "test_fleet.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <thread>

namespace hibiscusfall::testing
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

std::string caller_answer::verdict() const
{
    const auto found = this->headers.find("Hibiscusfall-Verdict");
    return found == this->headers.end() ? std::string{} : found->second;
}

std::string caller_answer::code() const
{
    const auto parsed = nlohmann::json::parse(this->body, nullptr, false);
    return parsed.is_object() && parsed.contains("error") ? parsed["error"].value("code", "") : "";
}

caller_connection::caller_connection(const core::address& to)
{
    this->socket.connect({asio::ip::make_address(to.host), to.port});
}

void caller_connection::write(std::string_view text)
{
    boost::system::error_code ignored;
    asio::write(this->socket, asio::buffer(text.data(), text.size()), ignored);
}

caller_answer caller_connection::read_answer()
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    boost::system::error_code error;
    http::read(this->socket, this->buffer, parser, error);
    caller_answer result{.status = parser.is_header_done() ? parser.get().result_int() : 0,
                         .headers = {},
                         .body = parser.get().body(),
                         .complete = !error && parser.is_done()};
    for (const auto& field : parser.get()) {
        result.headers[std::string{field.name_string()}] = std::string{field.value()};
    }
    return result;
}

std::string caller_connection::read_until(std::string_view text)
{
    std::string read;
    std::array<char, 1024> piece{};
    boost::system::error_code error;
    while (!error && read.find(text) == std::string::npos) {
        const auto length = this->socket.read_some(asio::buffer(piece), error);
        read.append(piece.data(), length);
    }
    return read;
}

void caller_connection::shrink_receive_buffer()
{
    this->socket.set_option(asio::socket_base::receive_buffer_size(4096));
}

void caller_connection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

std::string request_text(std::string_view method,
                         std::string_view target,
                         std::string_view body,
                         std::string_view headers)
{
    return std::string{method} + " " + std::string{target} + " HTTP/1.1\r\nHost: router\r\n" +
           "Content-Length: " + std::to_string(body.size()) + "\r\n" + std::string{headers} + "\r\n" +
           std::string{body};
}

namespace
{

constexpr std::string_view huts_token = "Authorization: Bearer huts-token\r\n";

} // namespace

std::string completion(bool stream, std::string_view headers)
{
    const nlohmann::json body{{"model", "draft"}, {"prompt", "fit"}, {"stream", stream}, {"max_tokens", 8}};
    return request_text(
        "POST", "/v1/completions", body.dump(), std::string{huts_token} + std::string{headers});
}

std::string booking(std::string_view headers)
{
    return request_text(
        "POST", "/services/booking/new", R"({"dryers":6})", std::string{huts_token} + std::string{headers});
}

test_fleet::test_fleet(traffic::caller_server_options given) : options(std::move(given))
{
    this->options.listen = {.host = "127.0.0.1", .port = 0};
    this->options.instance = core::instance_id{"test"};
    this->options.closing_grace = 50ms;
    const core::team_id huts{"huts"};
    const core::team_id schools{"schools"};
    this->document.revision = 1;
    this->document.teams[huts] = {.id = huts,
                                  .share = 1,
                                  .token_hash = configuration::hash_token("huts-token"),
                                  .home_domain = core::failure_domain_id{"a"}};
    this->document.teams[schools] = {.id = schools,
                                     .share = 1,
                                     .token_hash = configuration::hash_token("schools-token"),
                                     .home_domain = core::failure_domain_id{"a"}};
    const core::service_id draft{"draft"};
    const core::service_id booking{"booking"};
    this->document.services[draft] = {.id = draft, .worth_per_request = 1, .worth_per_token = 0.5};
    this->document.services[booking] = {
        .id = booking, .kind = configuration::service_kind::plain, .repeatable = false};
    this->ports.configuration = [this] { return this->published; };
    this->ports.acquire = [this](const core::slot_request& request, const std::function<bool()>& abandoned) {
        return this->acquire(request, abandoned);
    };
    this->ports.progress = [this](std::uint64_t /*ticket*/, const core::run_progress& /*progress*/) {
        const std::lock_guard lock(this->mutex);
        ++this->progress_calls;
    };
    this->ports.release = [this](std::uint64_t ticket, const core::slot_usage& usage) {
        const std::lock_guard lock(this->mutex);
        ++this->released[ticket];
        --this->used[this->slots[ticket]];
        this->recorded.push_back(usage);
        this->changed.notify_all();
    };
}

void test_fleet::add_endpoint(const std::string& id,
                              const std::string& service,
                              const core::address& address,
                              std::uint32_t slots_of_it)
{
    const core::endpoint_id name{id};
    this->document.endpoints[name] = {.id = name,
                                      .service = core::service_id{service},
                                      .domain = core::failure_domain_id{"a"},
                                      .address = address,
                                      .slots = slots_of_it};
}

void test_fleet::start()
{
    this->published = std::make_shared<const configuration::document>(this->document);
    this->server = std::make_unique<traffic::caller_server>(this->options, this->ports);
    if (const auto problem = this->server->start()) {
        throw std::runtime_error(*problem);
    }
}

caller_answer test_fleet::call(const std::string& text) const
{
    caller_connection connection(this->address());
    connection.write(text);
    return connection.read_answer();
}

std::optional<core::slot_decision> test_fleet::try_acquire(const core::slot_request& request)
{
    bool any = false;
    for (const auto& [id, endpoint] : this->document.endpoints) {
        const auto& excluded = request.excluded;
        if (endpoint.service != request.service ||
            std::find(excluded.begin(), excluded.end(), id) != excluded.end()) {
            continue;
        }
        any = true;
        if (this->used[id] < endpoint.slots) {
            ++this->used[id];
            this->slots[++this->tickets] = id;
            return core::slot_granted{.ticket = this->tickets, .endpoint = id};
        }
    }
    if (!any) {
        return core::slot_denied{
            .reason = core::failure::no_endpoint, .detail = "none left", .retry_after = {}};
    }
    return std::nullopt;
}

core::slot_decision test_fleet::acquire(const core::slot_request& request,
                                        const std::function<bool()>& abandoned)
{
    std::unique_lock lock(this->mutex);
    while (std::chrono::steady_clock::now() < request.deadline) {
        if (auto answer = this->try_acquire(request)) {
            return *answer;
        }
        this->changed.wait_for(lock, 5ms);
        if (abandoned()) {
            return core::slot_denied{
                .reason = core::failure::caller_gone, .detail = "abandoned", .retry_after = {}};
        }
    }
    return core::slot_denied{.reason = core::failure::deadline, .detail = "no slot", .retry_after = {}};
}

bool test_fleet::slots_came_back()
{
    const auto all_back = [this] {
        const std::lock_guard lock(this->mutex);
        return this->released.size() == this->tickets;
    };
    if (!eventually(all_back)) {
        return false;
    }
    const std::lock_guard lock(this->mutex);
    return std::all_of(
        this->released.begin(), this->released.end(), [](const auto& item) { return item.second == 1; });
}

std::vector<core::slot_usage> test_fleet::usages() const
{
    const std::lock_guard lock(this->mutex);
    return this->recorded;
}

std::size_t test_fleet::granted() const
{
    const std::lock_guard lock(this->mutex);
    return this->tickets;
}

std::size_t test_fleet::progress_reports() const
{
    const std::lock_guard lock(this->mutex);
    return this->progress_calls;
}

bool test_fleet::eventually(const std::function<bool()>& condition)
{
    constexpr auto generous = 20s;
    const auto end = std::chrono::steady_clock::now() + generous;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(2ms);
    }
    return condition();
}

} // namespace hibiscusfall::testing
