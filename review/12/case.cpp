#include "../standins-3/fleet.hpp"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

/// @file
/// @brief A process is killed, and its streams are taken up at instances whose connections to the store
/// rested.

using namespace standin;

namespace
{

constexpr int instance_count = 10;
constexpr milliseconds freeze{5000};    // node_freeze: share 0.1, for_s 5 by default
constexpr milliseconds join_after{300}; // after the freeze began
constexpr milliseconds patience{2000};  // of clients, between two events of a stream
constexpr milliseconds event_interval{100};
constexpr int events_per_stream = 100;
constexpr int streams = 30;
constexpr int new_streams = 30; // that begin at the others meanwhile

std::string configuration()
{
    using nlohmann::json;
    return json{{"version", 7},
                {"routes",
                 json::array({{{"name", "r-query"},
                               {"hostname", "desk.example"},
                               {"path-prefix", "/query/"},
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
                  {"tokens-per-s", 2500000}}},
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
        : alive(std::make_shared<std::atomic<bool>>(true)), hot_runs(std::make_shared<std::atomic<int>>(0)),
          running(about,
                  registry,
                  [kept = alive, runs = hot_runs, about, &notes](connection& client, const message& request) {
                      const auto id = request.header("x-hibiscusfall-request-id");
                      const auto last = request.header("last-event-id");
                      *runs += id.starts_with("hot") ? 1 : 0;
                      notes.line(about.id + " runs " + id + (last.empty() ? "" : " after event " + last));
                      client.send(signed_head(
                          id, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                      for (int event = last.empty() ? 1 : std::stoi(last) + 1; event <= events_per_stream;
                           ++event) {
                          sleep_for(event_interval);
                          if (!*kept) {
                              client.reset();
                              return;
                          }
                          if (client.ended_by_peer() ||
                              !client.send(chunk("id: " + std::to_string(event) + "\ndata: " + about.version +
                                                 "\n\n"))) {
                              client.close();
                              return;
                          }
                      }
                      client.send("0\r\n\r\n");
                  })
    {
    }
    [[nodiscard]] int busy() const { return *hot_runs; }
    [[nodiscard]] bool is_up() const { return *alive; }
    void crash()
    {
        *alive = false;
        running.crash();
    }
    server& get() { return running; }

private:
    std::shared_ptr<std::atomic<bool>> alive;
    std::shared_ptr<std::atomic<int>> hot_runs; ///< Streams of the hot key that it was sent.
    server running;
};

struct question {
    std::string id;
    std::string body;
    std::string part; ///< The last part of its prompt.
};

/// Sends a stream, or takes it up after an event. Returns the last event that came; nothing after its end.
std::optional<std::string> ask(const address& to,
                               const question& asked,
                               const std::string& id,
                               const std::string& after,
                               milliseconds left,
                               record& notes,
                               bool& got_event)
{
    got_event = false;
    const auto link = connect_to(to, milliseconds{1000});
    std::string request =
        "POST /query/2f HTTP/1.1\r\nHost: desk.example\r\nX-Hibiscusfall-Request-Id: " + id +
        "\r\nX-Hibiscusfall-Model: m\r\nX-Hibiscusfall-Token-Count: 400,80\r\nX-Hibiscusfall-Prompt-Prefix: "
        "5c1e07a2:198," +
        asked.part + ":202\r\nX-Hibiscusfall-Deadline-Ms: " + std::to_string(left.count()) +
        "\r\nX-Hibiscusfall-Credential: key-1\r\n";
    if (!after.empty()) {
        request += "Last-Event-Id: " + after + "\r\nResumes: " + asked.id + "\r\n";
    }
    request += "Content-Length: " + std::to_string(asked.body.size()) + "\r\n\r\n" + asked.body;
    if (!link || !link->send(request)) {
        return after;
    }
    auto response = link->receive_head(milliseconds{3000});
    if (!response) {
        return after;
    }
    if (response->status() == 200) {
        // A client leaves a stream on which nothing comes.
        while (link->buffer.find("\r\n0\r\n\r\n") == std::string::npos && link->more(patience)) {
        }
        response->body = link->buffer;
        response->whole = response->body.find("\r\n0\r\n\r\n") != std::string::npos;
    } else {
        link->receive_body(*response, left, true);
    }
    if (response->status() != 200) {
        notes.line("client: " + id + (after.empty() ? "" : " (taken up)") + " got " +
                   std::to_string(response->status()) + " Retry-After " + response->header("retry-after") +
                   " " + response->body);
        return after;
    }
    std::string last = after;
    for (auto at = response->body.find("id: "); at != std::string::npos;
         at = response->body.find("id: ", at + 1)) {
        last = response->body.substr(at + 4, response->body.find('\n', at) - at - 4);
        got_event = true;
    }
    return response->whole ? std::nullopt : std::optional{last};
}

} // namespace

int main(int count, char** arguments)
{
    const bool calm = is_calm(count, arguments);
    record notes{count > 1 ? arguments[1] : "record.txt"};
    notes.line(calm ? "without the disruption" : "with a machine that stands still");
    const temporary_folder folder;
    const address store_at{loopback_host(100), free_port(loopback_host(100))};
    store registry{store_at, [](const call_info&) { return call_plan{}; }};
    registry.put("op/config", configuration());
    std::vector<std::unique_ptr<life>> servers;
    const auto add_server = [&](const std::string& version) {
        const auto number = static_cast<int>(servers.size());
        const auto host = loopback_host(110 + number);
        servers.push_back(std::make_unique<life>(server::options{.id = "i-" + std::to_string(100 + number),
                                                                 .service = "draft",
                                                                 .version = version,
                                                                 .at = {host, free_port(host)}},
                                                 registry,
                                                 notes));
        servers.back()->get().register_entry();
    };
    for (int number = 0; number < 4; ++number) {
        add_server("v1");
    }
    std::vector<std::unique_ptr<entry>> entries;
    const auto inner = free_port(loopback_host(0));
    for (int i = 0; i < instance_count; ++i) {
        entries.push_back(std::make_unique<entry>(
            entry::options{.name = "front-" + std::to_string(i),
                           .host = loopback_host(i),
                           .inner_port = inner,
                           .seeds = {loopback_host(0), loopback_host(1), loopback_host(2)},
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
    notes.line("the instances are ready");
    sleep_for(milliseconds{4000}); // longer than contact-ms
    std::atomic<int> taken_up{0};
    std::atomic<int> went_on{0};
    std::atomic<int> begun{0};
    std::vector<std::thread> clients;
    for (int number = 0; number < streams; ++number) {
        clients.emplace_back([&, number] {
            constexpr milliseconds deadline{12000};
            const auto begin = steady::now();
            const auto id = "s" + std::to_string(number);
            const question asked{
                .id = id, .body = "question of " + id, .part = std::to_string(10000000 + number)};
            bool got_event = false;
            const auto after = ask(entries[0]->front(), asked, id, {}, deadline, notes, got_event);
            if (!after || !got_event) {
                return;
            }
            ++taken_up;
            notes.line("client: " + id + " left after event " + *after);
            const auto left = deadline - std::chrono::duration_cast<milliseconds>(steady::now() - begin);
            (void)ask(entries[static_cast<std::size_t>(1 + number % (instance_count - 1))]->front(),
                      asked,
                      id + "-again",
                      *after,
                      left,
                      notes,
                      got_event);
            went_on += got_event ? 1 : 0;
        });
    }
    for (int number = 0; number < new_streams; ++number) {
        clients.emplace_back([&, number] {
            sleep_for(milliseconds{200 * number});
            const auto id = "new-" + std::to_string(number);
            const question asked{
                .id = id, .body = "question of " + id, .part = std::to_string(20000000 + number)};
            bool got_event = false;
            (void)ask(entries[static_cast<std::size_t>(1 + number % (instance_count - 1))]->front(),
                      asked,
                      id,
                      {},
                      milliseconds{12000},
                      notes,
                      got_event);
            begun += got_event ? 1 : 0;
        });
    }
    sleep_for(milliseconds{3000});
    const auto began = steady::now();
    if (!calm) {
        entries[0]->signal(SIGSTOP);
        notes.line("front-0 stands still");
    }
    sleep_until(began + join_after);
    add_server("v2");
    notes.line("a server of v2 joins");
    sleep_until(began + freeze);
    entries[0]->signal(SIGCONT);
    notes.line("front-0 goes on");
    for (auto& each : clients) {
        each.join();
    }
    notes.line("streams taken up by their clients " + std::to_string(taken_up) + ", of these went on " +
               std::to_string(went_on) + "; new ones " + std::to_string(new_streams) + ", begun " +
               std::to_string(begun));
    const bool lasted = all_running(entries);
    for (auto& each : entries) {
        each->end(SIGKILL);
    }
    if (!lasted || begun == 0 || (!calm && taken_up < 12)) {
        return 2;
    }
    const double share_begun = static_cast<double>(begun) / new_streams;
    return taken_up >= 12 && static_cast<double>(went_on) / taken_up < share_begun / 2 ? 1 : 0;
}
