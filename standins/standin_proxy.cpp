// Fault-injecting proxy for TCP and UDP: delays, drops, duplicates, cuts links and closes connections midway.
#include "standins/parts/http_server.hpp"
#include "standins/parts/link_proxy.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/post.hpp>

#include <exception>
#include <fstream>
#include <future>
#include <iostream>
#include <thread>

namespace
{

using namespace hibiscusfall::standins;
using nlohmann::json;

void split_address(const std::string& text, boost::asio::ip::address& host, std::uint16_t& port)
{
    const auto colon = text.rfind(':');
    host = boost::asio::ip::make_address(text.substr(0, colon));
    port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
}

link_listener read_listener(const json& from)
{
    link_listener result;
    result.name = from.at("name").get<std::string>();
    result.source = from.value("source", "");
    result.datagrams = from.value("protocol", "tcp") == "udp";
    split_address(from.at("listen").get<std::string>(), result.listen, result.listen_port);
    split_address(from.at("target").get<std::string>(), result.target, result.target_port);
    return result;
}

void start_links(link_proxy& proxy, const json& plan)
{
    proxy.places = plan.value("places", std::map<std::string, std::string>{});
    proxy.rules.groups = plan.value("groups", std::map<std::string, std::string>{});
    proxy.rules.rules = read_rules(plan.value("rules", json::array()));
    for (const auto& item : plan.at("listeners")) {
        const auto listener = read_listener(item);
        if (listener.datagrams) {
            start_datagram_link(proxy, listener);
        } else {
            start_stream_link(proxy, listener);
        }
    }
}

/// Runs something on the proxy's thread and waits for its result.
template <class function>
auto ask(link_proxy& proxy, function question) -> decltype(question())
{
    std::promise<decltype(question())> promise;
    auto answer = promise.get_future();
    boost::asio::post(proxy.context, [&promise, &question] { promise.set_value(question()); });
    return answer.get();
}

json read_counters(const link_counters& counters)
{
    return {{"datagrams", counters.datagrams},
            {"datagram_bytes", counters.datagram_bytes},
            {"dropped", counters.dropped},
            {"duplicated", counters.duplicated},
            {"connections", counters.connections},
            {"closed_midway", counters.closed_midway}};
}

bool handle(link_proxy& proxy, connection& client, const http_request& request)
{
    if (request.target() == "/counts") {
        const auto counters = ask(proxy, [&proxy] { return proxy.counters; });
        return client.reply(200, read_counters(counters).dump());
    }
    if (request.target() != "/control") {
        return client.reply(404, R"({"error":"not found"})");
    }
    try {
        const auto order = json::parse(request.body());
        auto rules = read_rules(order.at("rules"));
        ask(proxy, [&proxy, &rules] {
            proxy.rules.rules = std::move(rules);
            return true;
        });
    } catch (const json::exception& error) {
        return client.reply(400, json{{"error", error.what()}}.dump());
    }
    return client.reply(200, R"({"done":true})");
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Fault-injecting proxy for TCP and UDP"};
    http_server_options server;
    std::string plan_file;
    std::uint64_t seed = 1;
    app.add_option("--host", server.host, "address of the control interface");
    app.add_option("--port", server.port, "port of the control interface")->required();
    app.add_option("--plan", plan_file, "listeners, places, groups and rules (JSON)")
        ->required()
        ->check(CLI::ExistingFile);
    app.add_option("--seed", seed, "seed of drops and duplicates");
    CLI11_PARSE(app, argc, argv);

    link_proxy proxy;
    proxy.random.seed(seed);
    try {
        std::ifstream in(plan_file);
        start_links(proxy, json::parse(in));
    } catch (const std::exception& error) {
        std::cerr << "standin_proxy: " << plan_file << ": " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    std::thread([&proxy] { proxy.context.run(); }).detach();
    server.handle = [&proxy](connection& client, const http_request& request) {
        return handle(proxy, client, request);
    };
    std::cerr << "standin_proxy: " << serve_http(server) << '\n';
    return EXIT_FAILURE;
}
