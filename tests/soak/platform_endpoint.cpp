#include "platform_endpoint.hpp"

#include "wire_names.hpp"

#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>

namespace hibiscusfall::soak
{

namespace
{

namespace wire = adapter::wire;
using namespace std::chrono_literals;
using standins::connection;
using standins::header_of;
using standins::http_request;

constexpr std::uint64_t stream_events = 12;
constexpr auto event_interval = 15ms;
/// The platform's bound after which a leaving endpoint gets nothing, and what threads of this program add.
constexpr std::int64_t drain_bound_ms = 2000 + 700;

standins::header_list answer_headers(const std::string& id, const platform_endpoint& self)
{
    return {{std::string{wire::request_id}, id},
            {std::string{wire::signature}, self.id},
            {"Keep-Alive", "timeout=5"}};
}

bool refuse(connection& client, int status, const std::string& id)
{
    return client.reply(
        status, "{}", {{std::string{wire::request_id}, id}, {std::string{wire::not_run}, "1"}});
}

bool stream(connection& client, const http_request& request, platform_endpoint& self, const std::string& id)
{
    if (!client.begin_chunks("text/event-stream", answer_headers(id, self))) {
        return false;
    }
    const auto resumed = header_of(request, wire::last_event_id);
    const auto first = resumed.empty() ? 0 : std::stoull(resumed) + 1;
    for (auto event = first; event < stream_events; ++event) {
        std::this_thread::sleep_for(event_interval);
        const auto text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
        if (self.faults.break_streams && event > first + 3) {
            client.write_chunk(text.substr(0, text.size() / 2));
            client.close();
            return false;
        }
        if (!client.write_chunk(text)) {
            return false;
        }
    }
    return client.end_chunks();
}

bool run(connection& client, const http_request& request, platform_endpoint& self, ledger& records)
{
    const auto id = header_of(request, wire::request_id);
    if (id.empty()) {
        return refuse(client, 400, id);
    }
    const auto expected = header_of(request, wire::expected_endpoint);
    if (!expected.empty() && expected != self.id) {
        constexpr int misdirected = 421;
        return refuse(client, misdirected, id);
    }
    const auto gone = self.gone_since_ms.load();
    if (gone > 0 && now_ms() - gone > drain_bound_ms) {
        records.note_broken(
            {.rule = "drain",
             .request = id,
             .detail = "reached " + self.id + " " + std::to_string(now_ms() - gone) + " ms after it left"});
    }
    if (self.faults.refuse) {
        return refuse(client, 503, id);
    }
    records.note_run(id, self.id, header_of(request, wire::team));
    if (self.engine) {
        return stream(client, request, self, id);
    }
    std::this_thread::sleep_for(8ms);
    if (self.faults.lose_answers) {
        client.close();
        return false;
    }
    if (self.faults.garble) {
        client.write("HTTP/1.1 2x0 \r\n\x01\x02 no answer\r\n\r\n");
        client.close();
        return false;
    }
    if (self.faults.fail) {
        return client.reply(500, "{}", answer_headers(id, self));
    }
    return client.reply(200, "ran " + id, answer_headers(id, self));
}

} // namespace

std::int64_t now_ms()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

void platform_endpoint::start(const std::shared_ptr<platform_endpoint>& endpoint, ledger& records)
{
    endpoint->server.host = endpoint->host;
    endpoint->server.port = endpoint->port;
    endpoint->server.handle = [endpoint, &records](connection& client, const http_request& request) {
        return run(client, request, *endpoint, records);
    };
    std::thread{[endpoint] {
        std::cerr << "endpoint " << endpoint->id << ": " << standins::serve_http(endpoint->server) << '\n';
    }}.detach();
}

std::string platform_endpoint::entry(bool draining) const
{
    return nlohmann::json{{"service", this->service},
                          {"address", this->host + ":" + std::to_string(this->public_port)},
                          {"zone", this->domain},
                          {"version", 1},
                          {"slots", 16},
                          {"state", draining ? "draining" : "ready"},
                          {"cold-left-ms", 0},
                          {"sequence", 1},
                          {"born", this->born_ms}}
        .dump();
}

} // namespace hibiscusfall::soak
