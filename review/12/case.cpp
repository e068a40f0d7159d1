#include "../standins-3/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

/// @file
/// @brief Servers restart one after the other under their ids, with new software, while the store is down.

using namespace standin;

namespace
{

constexpr milliseconds outage{4500};        // platform_down, silent
constexpr milliseconds first_restart{300};  // after the outage began
constexpr milliseconds restart_gap{1300};   // release and roll_term: gap_s
constexpr milliseconds restart_length{500}; // srv_crash: for_s is 2 s and more
constexpr milliseconds event_interval{100};
constexpr int events_per_stream = 60;
constexpr int streams_at_once = 30;
constexpr int server_count = 3;

std::string configuration()
{
    using nlohmann::json;
    return json{{"version", 7},
                {"routes",
                 json::array({{{"name", "r-chat"},
                               {"hostname", "desk.example"},
                               {"path-prefix", "/chat/"},
                               {"kind", "streaming"},
                               {"timeout-ms", 12000},
                               {"goal-ms", 300},
                               {"gap-aim-ms", 250},
                               {"priority", 1},
                               {"service", "draft"},
                               {"max-attempts", 2},
                               {"anonymous", false},
                               {"sticky", true},
                               {"resumable", true}}})},
                {"services",
                 json::array({{{"name", "draft"},
                               {"health-path", "/health"},
                               {"max-conns", 370},
                               {"protocol", "h1"},
                               {"tls", false},
                               {"engine",
                                {{"slots", 64},
                                 {"kv-capacity-tokens", 431646},
                                 {"stride", 1},
                                 {"models", json::array({{{"name", "m"}}})}}}}})},
                {"limits",
                 {{"max-header-bytes", 16384},
                  {"max-body-bytes", 4194304},
                  {"header-timeout-ms", 3000},
                  {"idle-timeout-ms", 15000},
                  {"tokens-per-s", 250000}}},
                {"tenants",
                 json::array({{{"name", "estate"}, {"api-keys", json::array({"key-1"})}, {"priority", 1}}})}}
        .dump();
}

std::string chunk(const std::string& text)
{
    std::ostringstream head;
    head << std::hex << text.size() << "\r\n" << text << "\r\n";
    return head.str();
}

/// One life of a server: what it runs ends with it, as its process does.
class life
{
public:
    life(const server::options& about, store& registry, record& notes)
        : alive(std::make_shared<std::atomic<bool>>(true)),
          running(about, registry, [kept = alive, about, &notes](connection& client, const message& request) {
              const auto id = request.header("x-hibiscusfall-request-id");
              const auto last = request.header("last-event-id");
              notes.line(about.id + " (" + about.version + ") runs " + id +
                         (last.empty() ? std::string{} : " after event " + last));
              client.send(
                  signed_head(id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
              for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= events_per_stream; ++event) {
                  sleep_for(event_interval);
                  if (!*kept) {
                      client.reset();
                      return;
                  }
                  if (client.ended_by_peer() || !client.send(chunk("id: " + std::to_string(event) +
                                                                   "\ndata: " + about.version + "\n\n"))) {
                      client.close();
                      return;
                  }
              }
              client.send("0\r\n\r\n");
          })
    {
    }
    void crash()
    {
        *alive = false;
        running.fall_silent();
        running.stop();
    }
    server& get() { return running; }

private:
    std::shared_ptr<std::atomic<bool>> alive;
    server running;
};

struct totals {
    std::atomic<int> whole{0};
    std::atomic<int> broken{0};
    std::atomic<int> refused{0};
    std::atomic<int> joined{0};
};

void run_stream(const address& to, const std::string& id, record& notes, totals& counted)
{
    const auto link = connect_to(to, milliseconds{1000});
    const std::string body = "question of " + id;
    if (!link ||
        !link->send("POST /chat/2f HTTP/1.1\r\nHost: desk.example\r\nX-Hibiscusfall-Request-Id: " + id +
                    "\r\nX-Hibiscusfall-Model: m\r\nX-Hibiscusfall-Token-Count: 400,60\r\n"
                    "X-Hibiscusfall-Prompt-Prefix: 5c1e07a2:198," +
                    std::to_string(std::hash<std::string>{}(id) % 100000000) +
                    ":202\r\nX-Hibiscusfall-Deadline-Ms: 12000\r\nX-Hibiscusfall-Credential: key-1\r\n"
                    "Content-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body)) {
        ++counted.refused;
        return;
    }
    const auto response = link->receive(milliseconds{12000}, true);
    if (!response || response->status() != 200) {
        ++counted.refused;
        notes.line("stream " + id + " got " +
                   (response ? std::to_string(response->status()) : std::string{"no answer"}));
        return;
    }
    const bool first = response->body.find("data: v1\n") != std::string::npos;
    const bool second = response->body.find("data: v2\n") != std::string::npos;
    ++(response->whole ? counted.whole : counted.broken);
    if (first && second) {
        ++counted.joined;
    }
    notes.line("stream " + id + (response->whole ? " is whole" : " broke off") + ", events of " +
               (first && second ? "v1 and v2: JOINED"
                : first         ? "v1"
                                : "v2"));
}

} // namespace

int main(int count, char** arguments)
{
    const bool calm = is_calm();
    record notes{count > 1 ? arguments[1] : "record.txt"};
    notes.line(calm ? "without the disruption" : "with restarts during an outage of the store");
    const temporary_folder folder;
    const address store_at{loopback_host(100), free_port(loopback_host(100))};
    std::atomic<bool> down{false};
    store registry{store_at, [&](const call_info&) {
                       call_plan plan;
                       plan.what = down ? call_plan::kind::no_answer : call_plan::kind::serve;
                       return plan;
                   }};
    registry.put("op/config", configuration());
    std::vector<std::unique_ptr<life>> servers;
    for (int i = 0; i < server_count; ++i) {
        const auto host = loopback_host(110 + i);
        servers.push_back(std::make_unique<life>(server::options{.id = "i-" + std::to_string(100 + i),
                                                                 .service = "draft",
                                                                 .at = {host, free_port(host)}},
                                                 registry,
                                                 notes));
        servers.back()->get().register_entry();
    }
    std::vector<std::unique_ptr<entry>> entries;
    const auto inner = free_port(loopback_host(0));
    for (int i = 0; i < 2; ++i) {
        entries.push_back(
            std::make_unique<entry>(entry::options{.name = "front-" + std::to_string(i),
                                                   .host = loopback_host(i),
                                                   .inner_port = inner,
                                                   .seeds = {loopback_host(0), loopback_host(1)},
                                                   .store = store_at,
                                                   .folder = folder.path}));
        entries.back()->start();
    }
    for (const auto& each : entries) {
        if (!each->wait_until_ready(milliseconds{10000})) {
            notes.line("an instance did not become ready");
            return 2;
        }
    }
    notes.line("two instances ready");
    totals counted;
    std::atomic<bool> sending{true};
    std::vector<std::thread> clients;
    for (int number = 0; number < streams_at_once; ++number) {
        clients.emplace_back([&, number] {
            sleep_for(milliseconds{200 * number}); // streams begin at all times
            for (int i = 0; sending; ++i) {
                run_stream(entries[static_cast<std::size_t>(number) % 2]->front(),
                           "s" + std::to_string(number) + "-" + std::to_string(i),
                           notes,
                           counted);
                sleep_for(milliseconds{100});
            }
        });
    }
    sleep_for(milliseconds{10000});

    const auto began = steady::now();
    if (!calm) {
        down = true;
        notes.line("the store is down (silent)");
        for (int i = 0; i < server_count; ++i) {
            sleep_until(began + first_restart + restart_gap * i);
            auto about = servers[static_cast<std::size_t>(i)]->get().about();
            servers[static_cast<std::size_t>(i)]->crash();
            notes.line(about.id + " ends");
            sleep_for(restart_length);
            about.version = "v2";
            auto next = std::make_unique<life>(about, registry, notes);
            servers.push_back(std::move(next));
            notes.line(about.id + " is back under its id, as v2");
        }
        sleep_until(began + outage);
        down = false;
        notes.line("the store is back");
        for (int i = 0; i < server_count; ++i) {
            servers[static_cast<std::size_t>(server_count + i)]->get().register_entry();
        }
    }
    sleep_until(began + milliseconds{12000});
    sending = false;
    for (auto& each : clients) {
        each.join();
    }
    notes.line("streams whole " + std::to_string(counted.whole) + ", broken off " +
               std::to_string(counted.broken) + ", refused " + std::to_string(counted.refused) +
               ", with events of two software versions " + std::to_string(counted.joined));
    for (auto& each : entries) {
        each->end(SIGKILL);
    }
    if (counted.whole < 20) {
        return 2;
    }
    return counted.joined > 2 ? 1 : 0;
}
