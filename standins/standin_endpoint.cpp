// Stand-in for an endpoint: a batching model engine that streams tokens, and a plain service that records
// runs.
#include "standins/parts/completions.hpp"
#include "standins/parts/endpoint_control.hpp"
#include "standins/parts/plain_runs.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <string_view>

namespace
{

using namespace hibiscusfall::standins;
using nlohmann::json;

bool handle(endpoint_standin& self, connection& client, const http_request& request)
{
    const std::string_view target{request.target().data(), request.target().size()};
    if (target == "/v1/completions" || target == "/v1/chat/completions") {
        return complete(self, client, request);
    }
    if (target.starts_with("/services/")) {
        return run_plain(self, client, request);
    }
    if (request.method_string() == "GET") {
        return answer_query(self, client, target);
    }
    const auto body = json::parse(request.body(), nullptr, false);
    if (target == "/v1/cancel" && body.is_object()) {
        self.model.cancel(body.value("request_id", ""));
        return client.reply(200, R"({"done":true})");
    }
    if (target == "/admin/order") {
        return take_order(self, client, body);
    }
    if (target == "/control") {
        return control(self, client, body);
    }
    return client.reply(404, R"({"error":"not found"})");
}

/// Whether the connection is read at all; orders to the stand-in itself always are.
bool may_read(endpoint_standin& self, connection& client)
{
    const auto start = client.peek();
    if (start.starts_with("POST /control") || start.starts_with("GET ")) {
        return true;
    }
    const auto closes = [](misbehaviour kind) { return kind == misbehaviour::close_before_reading; };
    return self.faults.next_if(closes) == misbehaviour::none;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app{"Stand-in for a model engine and for a plain service"};
    engine_options speed;
    http_server_options server;
    int tokens = 16;
    int run_ms = 20;
    app.add_option("--host", server.host, "address to listen on");
    app.add_option("--port", server.port, "port to listen on")->required();
    app.add_option("--first-token-ms", speed.first_token_ms, "time to the first token of an idle engine");
    app.add_option("--between-tokens-ms", speed.between_tokens_ms, "time between tokens of an idle engine");
    app.add_option("--batch", speed.batch, "requests that run side by side at nearly full speed");
    app.add_option("--load-lag-ms", speed.load_lag_ms, "age of the load that is reported");
    app.add_option("--load-model-ms", speed.load_model_ms, "time that loading a model takes");
    app.add_flag("--check-fencing", speed.checks_fencing, "refuse orders with an old fencing number");
    app.add_option("--tokens", tokens, "tokens of an answer when the request names none");
    app.add_option("--run-ms", run_ms, "time that one call of the plain service takes");
    CLI11_PARSE(app, argc, argv);

    endpoint_standin self{.default_tokens = tokens, .run_ms = run_ms, .model = engine{speed}};
    server.before_reading = [&self](connection& client) { return may_read(self, client); };
    server.handle = [&self](connection& client, const http_request& request) {
        return handle(self, client, request);
    };
    std::cerr << "standin_endpoint: " << serve_http(server) << '\n';
    return EXIT_FAILURE;
}
