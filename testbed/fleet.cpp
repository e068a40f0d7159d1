#include "testbed/fleet.hpp"

#include "hibiscusfall/configuration/document.hpp"
#include "testbed/poll_until.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace hibiscusfall::testbed
{

namespace
{

using nlohmann::json;

constexpr int store_number = 1;
constexpr int first_endpoint_number = 10;
constexpr int first_router_number = 100;
constexpr std::uint16_t store_port = 2379;
constexpr std::uint16_t endpoint_port = 8000;
constexpr std::uint16_t callers_port = 8080;
constexpr std::uint16_t operators_port = 8081;
constexpr std::uint16_t inner_port = 7000;
constexpr int proxy_number = 2;
constexpr std::uint16_t proxy_port = 9000;
constexpr std::uint16_t proxied_offset = 10000;   ///< The proxy's port in front of a port on the same host.
constexpr std::uint16_t first_store_port = 20000; ///< The proxy's port to the store for the first router.
constexpr std::size_t most_seeds = 5;
constexpr auto start_limit = std::chrono::seconds{30};
constexpr std::string_view operator_token = "testbed-operator-token";

std::string make_folder()
{
    std::string path = (std::filesystem::temp_directory_path() / "hibiscusfall-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder " + path);
    }
    return path;
}

void merge(ini_text& target, const ini_text& added)
{
    for (const auto& [section, values] : added) {
        for (const auto& [key, value] : values) {
            target[section][key] = value;
        }
    }
}

void write_ini(const std::string& path, const ini_text& settings)
{
    std::ofstream out(path);
    for (const auto& [section, values] : settings) {
        out << '[' << section << "]\n";
        for (const auto& [key, value] : values) {
            out << key << " = " << value << '\n';
        }
    }
}

json encode(const std::vector<link_fault>& faults)
{
    json list = json::array();
    for (const auto& fault : faults) {
        list.push_back({{"from", fault.from},
                        {"to", fault.to},
                        {"across", fault.across},
                        {"delay_ms", fault.delay_ms},
                        {"drop", fault.drop},
                        {"duplicate", fault.duplicate},
                        {"cut", fault.cut},
                        {"close_after_bytes", fault.close_after_bytes}});
    }
    return list;
}

json listener(const std::string& name,
              const core::address& listen,
              const core::address& target,
              const char* protocol,
              const std::string& source = {})
{
    return {{"name", name},
            {"listen", core::to_string(listen)},
            {"target", core::to_string(target)},
            {"protocol", protocol},
            {"source", source}};
}

std::string to_text(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

} // namespace

std::string command_answer::cell(std::string_view row, std::string_view column) const
{
    const auto place = std::find(this->columns.begin(), this->columns.end(), column);
    const auto index = static_cast<std::size_t>(place - this->columns.begin());
    for (const auto& cells : this->rows) {
        if (!cells.empty() && cells.front() == row && index < cells.size()) {
            return cells[index];
        }
    }
    return {};
}

fleet::fleet(fleet_options given) : options(std::move(given))
{
    if (this->options.folder.empty()) {
        this->options.folder = make_folder();
        this->owns_folder = true;
    }
    int number = first_endpoint_number;
    for (const auto& plan : this->options.endpoints) {
        this->endpoint_list.push_back(
            {.plan = plan, .address = {this->addresses.host(number++), endpoint_port}, .process = {}});
    }
    if (number > first_router_number) {
        throw std::runtime_error("too many endpoints for one block of addresses");
    }
    number = first_router_number;
    for (const auto& plan : this->options.routers) {
        const auto host = this->addresses.host(number++);
        this->router_list.push_back({.plan = plan,
                                     .callers = {host, callers_port},
                                     .operators = {host, operators_port},
                                     .inner = {host, inner_port},
                                     .settings_file = this->options.folder + "/" + plan.name + ".ini",
                                     .process = {}});
    }
}

fleet::~fleet()
{
    this->router_list.clear();
    this->endpoint_list.clear();
    this->proxy_process.reset();
    this->store_process.reset();
    if (this->owns_folder && std::getenv("HIBISCUSFALL_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->options.folder, ignored);
    }
}

core::address fleet::store_address() const
{
    return {this->addresses.host(store_number), store_port};
}

core::address fleet::reached(const core::address& listen) const
{
    if (!this->options.through_proxy) {
        return listen;
    }
    return {listen.host, static_cast<std::uint16_t>(listen.port + proxied_offset)};
}

core::address fleet::store_for(std::size_t router) const
{
    if (!this->options.through_proxy) {
        return this->store_address();
    }
    return {this->addresses.host(proxy_number), static_cast<std::uint16_t>(first_store_port + router)};
}

std::string fleet::write_proxy_plan() const
{
    json plan{{"listeners", json::array()}, {"rules", encode(this->options.faults)}};
    plan["groups"]["store"] = "platform";
    for (std::size_t index = 0; index < this->router_list.size(); ++index) {
        const auto& router = this->router_list[index];
        const auto& name = router.plan.name;
        plan["places"][router.inner.host] = name;
        plan["groups"][name] = router.plan.domain;
        plan["listeners"].push_back(listener(name, this->reached(router.inner), router.inner, "udp"));
        plan["listeners"].push_back(listener(name, this->reached(router.operators), router.operators, "tcp"));
        plan["listeners"].push_back(
            listener("store", this->store_for(index), this->store_address(), "tcp", name));
    }
    for (const auto& endpoint : this->endpoint_list) {
        plan["groups"][endpoint.plan.name] = endpoint.plan.domain;
        plan["listeners"].push_back(
            listener(endpoint.plan.name, this->reached(endpoint.address), endpoint.address, "tcp"));
    }
    auto path = this->options.folder + "/proxy.json";
    std::ofstream(path) << plan.dump(1);
    return path;
}

void fleet::start_proxy()
{
    const auto host = this->addresses.host(proxy_number);
    this->proxy_process.emplace(child_process_options{
        .program = this->options.programs + "/standin_proxy",
        .arguments =
            {"--host", host, "--port", std::to_string(proxy_port), "--plan", this->write_proxy_plan()},
        .log_file = this->options.folder + "/proxy.log"});
    if (!poll_until([&host] { return get({host, proxy_port}, "/counts").status == 200; }, start_limit)) {
        this->fail("proxy");
    }
}

void fleet::set_faults(const std::vector<link_fault>& faults)
{
    const auto answer = post(
        {this->addresses.host(proxy_number), proxy_port}, "/control", json{{"rules", encode(faults)}}.dump());
    if (answer.status != 200) {
        throw std::runtime_error("the fault proxy did not take its rules: " + answer.body + answer.error);
    }
}

void fleet::cut_off(const std::string& domain)
{
    auto faults = this->options.faults;
    faults.push_back({.from = domain, .to = "*", .across = true, .cut = true});
    faults.push_back({.from = "*", .to = domain, .across = true, .cut = true});
    this->set_faults(faults);
}

void fleet::start_store()
{
    const auto at = this->store_address();
    this->store_process.emplace(
        child_process_options{.program = this->options.programs + "/standin_store",
                              .arguments = {"--host", at.host, "--port", std::to_string(at.port)},
                              .log_file = this->options.folder + "/store.log"});
}

void fleet::start_endpoint(std::size_t index)
{
    auto& target = this->endpoint_list.at(index);
    std::vector<std::string> arguments{
        "--host", target.address.host, "--port", std::to_string(target.address.port)};
    arguments.insert(arguments.end(), target.plan.arguments.begin(), target.plan.arguments.end());
    if (target.plan.checks_fencing) {
        arguments.emplace_back("--check-fencing");
    }
    target.process.emplace(
        child_process_options{.program = this->options.programs + "/standin_endpoint",
                              .arguments = arguments,
                              .log_file = this->options.folder + "/" + target.plan.name + ".log"});
}

ini_text fleet::settings_of(const router_process& router) const
{
    std::string seeds;
    for (std::size_t index = 0; index < std::min(this->router_list.size(), most_seeds); ++index) {
        seeds += (seeds.empty() ? "" : ", ") + core::to_string(this->reached(this->router_list[index].inner));
    }
    ini_text result{
        {"instance", {{"id", router.plan.name}, {"failure_domain", router.plan.domain}}},
        {"listen",
         {{"callers", core::to_string(router.callers)},
          {"operators", core::to_string(router.operators)},
          {"inner", core::to_string(router.inner)}}},
        {"peers", {{"seeds", seeds}}},
        {"platform",
         {{"store",
           core::to_string(this->store_for(static_cast<std::size_t>(&router - this->router_list.data())))}}},
        {"security",
         {{"fleet_secret", std::string{fleet_secret}},
          {"operator_token_hash", configuration::hash_token(operator_token)}}},
        {"log", {{"level", "decision"}}}};
    if (this->options.through_proxy) {
        result["advertise"] = {{"inner", core::to_string(this->reached(router.inner))},
                               {"operators", core::to_string(this->reached(router.operators))}};
        result["traffic"]["connect_from"] = router.inner.host;
    }
    merge(result, this->options.settings);
    merge(result, router.plan.settings);
    return result;
}

void fleet::start_router(std::size_t index)
{
    auto& target = this->router_list.at(index);
    write_ini(target.settings_file, this->settings_of(target));
    target.process.emplace(
        child_process_options{.program = this->options.programs + "/hibiscusfall-router",
                              .arguments = {"--settings", target.settings_file},
                              .log_file = this->options.folder + "/" + target.plan.name + ".log"});
}

void fleet::start()
{
    this->start_store();
    if (this->options.through_proxy) {
        this->start_proxy();
    }
    for (std::size_t index = 0; index < this->endpoint_list.size(); ++index) {
        this->start_endpoint(index);
    }
    for (std::size_t index = 0; index < this->router_list.size(); ++index) {
        this->start_router(index);
    }
    for (const auto& router : this->router_list) {
        const auto live = [&router] { return get(router.operators, "/health").status == 200; };
        if (!poll_until(live, start_limit)) {
            this->fail(router.plan.name);
        }
    }
    this->declare_all();
    for (std::size_t index = 0; index < this->router_list.size(); ++index) {
        if (!poll_until([this, index] { return this->ready(index); }, start_limit)) {
            this->fail(this->router_list[index].plan.name);
        }
    }
}

void fleet::declare_all()
{
    for (const auto& service : this->options.services) {
        this->require("declare service " + service.name + " kind " + (service.plain ? "plain" : "model") +
                      (service.plain ? std::string{" repeatable "} + (service.repeatable ? "yes" : "no")
                                     : std::string{}) +
                      " worth " + to_text(service.worth) + " token_worth " + to_text(service.token_worth) +
                      (service.resume_elsewhere ? " resume_elsewhere yes" : ""));
    }
    for (const auto& endpoint : this->endpoint_list) {
        this->require("declare endpoint " + endpoint.plan.name + " service " + endpoint.plan.service +
                      " domain " + endpoint.plan.domain + " address " +
                      core::to_string(this->reached(endpoint.address)) + " slots " +
                      std::to_string(endpoint.plan.slots) + " fencing " +
                      (endpoint.plan.checks_fencing ? "checked" : "ignored"));
    }
    for (const auto& team : this->options.teams) {
        this->require("create team " + team.name + " share " + to_text(team.share) + " token " + team.name +
                      "-token home " + team.home);
    }
}

void fleet::require(const std::string& command)
{
    // The first command may come before the store listens.
    command_answer answer;
    const auto accepted = [&] {
        answer = this->command(command);
        return answer.accepted();
    };
    if (!poll_until(accepted, start_limit)) {
        this->fail("command \"" + command + "\": " + answer.outcome + " " + answer.reason);
    }
}

void fleet::fail(const std::string& what) const
{
    throw std::runtime_error("fleet did not come up: " + what + "; logs are in " + this->options.folder);
}

std::vector<std::optional<int>> fleet::stop_routers(std::chrono::milliseconds limit)
{
    for (auto& router : this->router_list) {
        if (router.process) {
            router.process->signal(SIGTERM);
        }
    }
    std::vector<std::optional<int>> codes;
    for (auto& router : this->router_list) {
        codes.push_back(router.process ? router.process->wait(limit) : std::nullopt);
    }
    return codes;
}

endpoint_process& fleet::endpoint(std::string_view name)
{
    const auto found = std::find_if(this->endpoint_list.begin(),
                                    this->endpoint_list.end(),
                                    [name](const auto& item) { return item.plan.name == name; });
    if (found == this->endpoint_list.end()) {
        throw std::runtime_error("no endpoint is named " + std::string{name});
    }
    return *found;
}

command_answer fleet::command(const std::string& text, std::size_t router)
{
    const auto& target = this->router_list.at(router);
    const auto answer = send({.to = target.operators,
                              .target = "/v1/command",
                              .headers = {{"Authorization", "Bearer " + std::string{operator_token}},
                                          {"Content-Type", "application/json"}},
                              .body = json{{"command", text},
                                           {"author", "testbed"},
                                           {"change_id", "testbed-" + std::to_string(++this->last_change)}}
                                          .dump()});
    const auto body = json::parse(answer.body, nullptr, false);
    if (!body.is_object()) {
        return {.outcome = "unreachable", .reason = answer.error, .columns = {}, .rows = {}};
    }
    command_answer result{
        .outcome = body.value("outcome", ""), .reason = body.value("reason", ""), .columns = {}, .rows = {}};
    result.revision = body.value("revision", std::uint64_t{0});
    if (body.contains("columns")) {
        result.columns = body["columns"].get<std::vector<std::string>>();
        result.rows = body["rows"].get<std::vector<std::vector<std::string>>>();
    }
    return result;
}

bool fleet::ready(std::size_t router) const
{
    return get(this->router_list.at(router).operators, "/ready").status == 200;
}

std::string fleet::model_service() const
{
    for (const auto& service : this->options.services) {
        if (!service.plain) {
            return service.name;
        }
    }
    throw std::runtime_error("the fleet has no model service");
}

std::string fleet::plain_service() const
{
    for (const auto& service : this->options.services) {
        if (service.plain) {
            return service.name;
        }
    }
    throw std::runtime_error("the fleet has no plain service");
}

http_call fleet::completion(const std::string& team, std::size_t router, int tokens) const
{
    const json body{
        {"model", this->model_service()}, {"prompt", "question"}, {"stream", true}, {"max_tokens", tokens}};
    return {.to = this->router_list.at(router).callers,
            .target = "/v1/completions",
            .headers = {{"Authorization", "Bearer " + team + "-token"}, {"Content-Type", "application/json"}},
            .body = body.dump()};
}

http_call fleet::booking(const std::string& team, std::size_t router, const std::string& key) const
{
    return {.to = this->router_list.at(router).callers,
            .target = "/services/" + this->plain_service() + "/bookings",
            .headers = {{"Authorization", "Bearer " + team + "-token"},
                        {"Content-Type", "application/json"},
                        {"Idempotency-Key", key}},
            .body = R"({"dryers":6})"};
}

std::string fleet::log_of(const std::string& name) const
{
    std::ifstream in(this->options.folder + "/" + name + ".log");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace hibiscusfall::testbed
